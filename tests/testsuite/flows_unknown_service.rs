//! Checks publications about services that a member's settings do not contain yet.

use std::net::SocketAddrV4;
use std::sync::Arc;

use zinniadrift_core::balancer::{
    Balancer, BalancerAction, BalancerEvent, BalancerSettings, PeerMessage,
};
use zinniadrift_core::flow::Pin;
use zinniadrift_core::ids::{Incarnation, MemberId, ServiceId, TargetId};
use zinniadrift_core::membership::Host;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

const DOCUMENT: &[u8] = br#"{"version":1,"edit_id":"e","tree":{"nodes":{"einsatz":{
    "service":{"address":"127.20.1.1:443"},
    "targets":{"bern-1":{"address":"127.0.0.1:7001","zone":"bern"}}}}}}"#;

/// Returns whether a member acknowledges a publication about `service`.
fn acknowledges(service: &str) -> bool {
    let now = MonoTime::from_millis(1);
    let mut balancer = Balancer::new(BalancerSettings {
        member: MemberId::from_name("bern-balancer-1"),
        incarnation: Incarnation::from(1),
        ..BalancerSettings::default()
    });
    let catalog = ServiceCatalog::parse(DOCUMENT).unwrap();
    let mut out = Vec::new();
    balancer.handle(now, BalancerEvent::Settings(Arc::new(catalog)), &mut out);
    let peer = Host {
        name: "bern-balancer-2".into(),
        zone: "bern".into(),
        address: ([127, 0, 0, 1], 7_112).into(),
    };
    balancer.handle(now, BalancerEvent::Hosts(vec![peer]), &mut out);
    let pin = Pin {
        service: ServiceId::from_name(service),
        target: TargetId::from_name(service, "bern-1"),
        time: 1.into(),
        caller: SocketAddrV4::new([127, 9, 0, 1].into(), 10_000),
    };
    let event = BalancerEvent::Peer {
        from: MemberId::from_name("bern-balancer-2"),
        incarnation: Incarnation::from(1),
        msg: PeerMessage::Publish {
            number: 1,
            pins: vec![pin],
        },
    };
    balancer.handle(now, event, &mut out);
    let is_ack = |a: &BalancerAction| {
        matches!(
            a,
            BalancerAction::Send {
                msg: PeerMessage::PublishAck { .. },
                ..
            }
        )
    };
    out.iter().any(is_ack)
}

/// Guards against a member that acknowledges a pin that it did not store: packets of the flow that
/// reach it after its settings arrive would follow the base table.
#[test]
fn publication_of_an_unknown_service_is_not_acknowledged() {
    assert!(acknowledges("einsatz"));
    assert!(!acknowledges("schadenbild"));
}
