//! Checks the settings tree.

use zinniadrift_core::settings::ServiceCatalog;

/// Declares one test per named document and the fault that it must produce.
macro_rules! refuses {
    ($($name:ident: $tree:literal => $path:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let json = format!(r#"{{"version":1,"edit_id":"e","tree":{}}}"#, $tree);
                let faults = ServiceCatalog::parse(json.as_bytes()).unwrap_err();
                assert_eq!(&*faults[0].path, $path, "{}", faults[0]);
            }
        )*
    };
}

refuses! {
    unknown_field: r#"{"nods":{}}"# => "$.tree.nods";
    unknown_policy: r#"{"policies":{"flows":{"tolerance":1}}}"# => "$.tree.policies.flows.tolerance";
    wrong_type: r#"{"policies":{"requests":{"queue_capacity":"many"}}}"#
        => "$.tree.policies.requests.queue_capacity";
    targets_without_service:
        r#"{"targets":{"a":{"address":"127.0.0.1:1","zone":"bern"}}}"# => "$.tree.targets";
}

#[test]
fn child_inherits_and_overrides() {
    let json = br#"{"version":3,"edit_id":"e","tree":{
        "policies":{"flows":{"ramp_s":9,"publish_rate":1.0}},
        "nodes":{"einsatz":{
            "policies":{"flows":{"publish_rate":2.0}},
            "service":{"address":"127.0.0.1:80"},
            "targets":{"bern-1":{"address":"127.0.0.1:1","zone":"bern"}}}}}}"#;
    let catalog = ServiceCatalog::parse(json).unwrap();
    let service = catalog.service("einsatz").unwrap();
    assert_eq!(service.policies.flows.ramp_s, 9);
    assert!((service.policies.flows.publish_rate - 2.0).abs() < f64::EPSILON);
}
