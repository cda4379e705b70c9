//! Tests the decoders of the platform's formats with fixed and generated input.

use std::net::SocketAddrV4;

use proptest::prelude::*;
use serde_json::{Value, json};

use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::steering::{
    Cookie, InstanceId, InstanceState, Route, RouteKind, SegmentKind, WarmUpLimitSettings,
    WatchSettings,
};
use zinniadrift_edge::{
    BootFile, DecodedConfiguration, HEADER_BYTES, MAX_DATA_BYTES, PacketHeader,
    decode_configuration, decode_packet, decode_server, encode_forward, encode_reset, flag,
};

fn header(flags: u8, len: u16) -> PacketHeader {
    PacketHeader {
        seq: 7,
        ack: 9,
        source: "100.64.0.9:40000".parse().unwrap(),
        destination: "198.18.0.3:8443".parse().unwrap(),
        len,
        sum: 0x1234,
        flags,
        echo: 0xabcd,
    }
}

fn datagram(flags: u8, data: &[u8]) -> Vec<u8> {
    let mut out = header(flags, data.len() as u16).encode().to_vec();
    out.extend_from_slice(data);
    out
}

macro_rules! kinds {
    ($($name:ident: $flags:expr => $kind:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let kind = decode_packet(&datagram($flags, b"")).map(|s| s.kind);
                assert_eq!(kind, $kind);
            }
        )*
    };
}

kinds! {
    opening_packet: flag::SYN => Some(SegmentKind::Open { retransmissions: 9 });
    syn_ack_is_rejected: flag::SYN | flag::ACK => None;
    acknowledgement: flag::ACK => Some(SegmentKind::Established);
    packet_without_flags: 0 => Some(SegmentKind::Established);
    close: flag::FIN | flag::ACK => Some(SegmentKind::Close);
    reset: flag::RST => Some(SegmentKind::Reset);
    reset_with_all_flags: 0xff => Some(SegmentKind::Reset);
}

/// Guards against accepting datagrams whose length does not match their header.
#[test]
fn wrong_length_is_rejected() {
    let good = datagram(flag::ACK, b"data");
    assert!(decode_packet(&good).is_some());
    for len in 0..good.len() {
        assert!(decode_packet(&good[..len]).is_none(), "{len} bytes");
    }
    let mut longer = good;
    longer.push(0);
    assert!(decode_packet(&longer).is_none());
    let largest = datagram(flag::ACK, &[0; MAX_DATA_BYTES]);
    assert!(decode_packet(&largest).is_some());
    let too_large = datagram(flag::ACK, &[0; MAX_DATA_BYTES + 1]);
    assert!(decode_packet(&too_large).is_none());
}

/// Guards against resets that callers ignore because the addresses do not match their flow.
#[test]
fn reset_is_addressed_to_the_caller() {
    let seg = decode_packet(&datagram(flag::ACK, b"")).unwrap();
    let mut out = vec![1; 100];
    let to = encode_reset(seg.flow, 77, 8_032, &mut out);
    assert_eq!(to, "100.64.0.9:8032".parse().unwrap());
    let reset = PacketHeader::decode(&out).unwrap();
    assert_eq!(reset.source, header(0, 0).destination);
    assert_eq!(reset.destination, header(0, 0).source);
    assert_eq!((reset.seq, reset.sum, reset.flags), (77, 0, flag::RST));
}

proptest! {
    /// Guards against panics on any datagram.
    #[test]
    fn arbitrary_datagram_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..1_400)) {
        if let Some(seg) = decode_packet(&bytes) {
            prop_assert_eq!(usize::from(seg.len), bytes.len() - HEADER_BYTES);
        }
    }

    /// Guards against changes to forwarded packets other than to the cookie.
    #[test]
    fn forwarding_changes_only_the_cookie(
        flags in any::<u8>(),
        data in prop::collection::vec(any::<u8>(), 0..MAX_DATA_BYTES),
        instance_id in any::<u64>(),
        cookie in any::<u32>(),
    ) {
        let sent = datagram(flags, &data);
        let mut out = Vec::new();
        encode_forward(&sent, InstanceId::from(instance_id), Cookie::from(cookie), &mut out);
        prop_assert_eq!(&out[..8], &instance_id.to_be_bytes());
        let mut received = PacketHeader::decode(&out[8..]).unwrap();
        prop_assert_eq!(received.echo, cookie);
        received.echo = header(0, 0).echo;
        prop_assert_eq!(received, header(flags, data.len() as u16));
        prop_assert_eq!(&out[8 + HEADER_BYTES..], &data);
    }

    /// Guards against panics on malformed entries of other writers, and against accepting entries
    /// in which a field is missing or has the wrong type.
    #[test]
    fn malformed_entries_are_rejected(field in 0_usize..8, malformed in malformed_value()) {
        let names = ["service", "address", "zone", "version", "slots", "state",
                     "cold_remaining_ms", "sequence"];
        let mut entry = server_entry();
        entry[names[field]] = malformed;
        prop_assert!(decode_server("i-00c0ffee", &entry).is_err());
        let mut missing = server_entry();
        missing.as_object_mut().unwrap().remove(names[field]);
        // An entry with a start time may lack the warm-up time.
        if names[field] == "cold_remaining_ms" {
            missing.as_object_mut().unwrap().remove("born");
        }
        prop_assert!(decode_server("i-00c0ffee", &missing).is_err());
    }

    /// Guards against panics on any JSON where the platform's objects are expected.
    #[test]
    fn arbitrary_json_does_not_panic(value in any_json()) {
        let _entry = decode_server("i-00c0ffee", &value);
        let _configuration = decode_configuration(&value);
        let _file = BootFile::parse(value.to_string().as_bytes(), "boot.json");
    }

    /// Guards against panics on corrupted settings and against accepting truncated ones.
    #[test]
    fn corrupted_settings_are_rejected(at in 0_usize..600, byte in any::<u8>()) {
        let mut text = boot_settings().to_string().into_bytes();
        let at = at % text.len();
        text[at] = byte;
        let _file = BootFile::parse(&text, "boot.json");
        text.truncate(at);
        prop_assert!(BootFile::parse(&text, "boot.json").is_err());
    }
}

fn malformed_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!([])),
        Just(json!({"a": 1})),
        Just(json!(-1)),
        Just(json!(1.5)),
        Just(json!(true)),
    ]
}

fn any_json() -> impl Strategy<Value = Value> {
    let key = prop_oneof![
        Just("version".to_owned()),
        Just("routes".to_owned()),
        Just("limits".to_owned()),
        Just("bounds".to_owned()),
        Just("listen".to_owned()),
        Just("address".to_owned()),
        "[a-z_]{1,8}",
    ];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5).prop_map(Value::from),
            prop::collection::btree_map(key.clone(), inner, 0..6)
                .prop_map(|m| Value::Object(m.into_iter().collect())),
        ]
    })
}

fn server_entry() -> Value {
    json!({
        "service": "gradebook", "address": "10.0.0.1:8080", "zone": "lowell", "version": "v2",
        "slots": 2, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 17,
    })
}

/// Guards against decoding fields of an entry from the wrong names.
#[test]
fn endpoint_entry_is_decoded() {
    let target = decode_server("i-00c0ffee", &server_entry()).unwrap();
    assert_eq!(target.instance_id, 0x00c0_ffee.into());
    assert_eq!(
        target.address,
        "10.0.0.1:8080".parse::<SocketAddrV4>().unwrap()
    );
    assert_eq!(target.state, InstanceState::Ready);
    assert_eq!((target.slots, target.started_at_ms), (2, Some(17)));
}

/// Guards against a restarted endpoint that names no target, or a warm one, because its entry says
/// when it started but not how long it warms up.
#[test]
fn entry_without_a_warm_up_time_is_decoded() {
    let mut entry = server_entry();
    entry.as_object_mut().unwrap().remove("cold_remaining_ms");
    assert!(decode_server("i-0a", &entry).unwrap().is_warm_up_unknown);
    assert!(
        !decode_server("i-0a", &server_entry())
            .unwrap()
            .is_warm_up_unknown
    );
}

/// Guards against limits of endpoints that warm up which are not applied, and against a service
/// with an unreadable one that costs the others.
#[test]
fn warm_up_limits_are_decoded() {
    let services = json!([
        {"name": "a", "cold_per_s": 2.5, "cold_start_s": 6},
        {"name": "b", "cold_per_s": 0}, {"name": "c"}, "d", {"cold_per_s": 3},
        {"name": "e", "cold_per_s": "3"}, {"name": "f", "cold_per_s": -1},
        {"name": "g", "cold_per_s": 4, "cold_start_s": "x"},
    ]);
    let mut configuration = json!({"version": 3, "routes": [], "services": services});
    let decoded = decode_configuration(&configuration).unwrap();
    let limit = |name| decoded.table.warm_up_limit(ServiceId::from_name(name));
    let of_a = limit("a").map(|w| (w.rate.per_second(), w.duration.as_secs()));
    assert_eq!(of_a, Some((2.5, 6)));
    assert_eq!(
        limit("g").map(|w| (w.rate.per_second(), w.duration.as_secs())),
        Some((4.0, 0))
    );
    assert!(
        ["b", "c", "d", "e", "f"]
            .iter()
            .all(|name| limit(name).is_none())
    );
    assert_eq!(decoded.faults.len(), 3, "{:?}", decoded.faults);
    for other in [json!(null), json!({"a": 1}), json!(7)] {
        configuration["services"] = other;
        assert!(
            !decode_configuration(&configuration)
                .unwrap()
                .table
                .has_warm_up_limits()
        );
    }
}

/// Guards against a limit that is on where the platform sets no bound, or off where it does.
#[test]
fn warm_up_bounds_are_decoded() {
    let limit = |bounds: &Value| {
        let mut file = boot_settings();
        for (name, value) in bounds.as_object().unwrap() {
            file["bounds"][name] = value.clone();
        }
        let file = BootFile::parse(file.to_string().as_bytes(), "boot.json").ok()?;
        let limit = file.edge_settings(None).steering.warm_up_limit;
        Some((limit.enabled, limit.overshoot, limit.slack))
    };
    let default = WarmUpLimitSettings::default();
    assert_eq!(
        limit(&json!({"cold_slack": 3})),
        Some((false, default.overshoot, default.slack))
    );
    assert_eq!(
        limit(&json!({"cold_overshoot": 1.25, "cold_slack": 3})),
        Some((true, 1.25, 3.0))
    );
    for wrong in [
        json!({"cold_overshoot": 0.9}),
        json!({"cold_overshoot": 2, "cold_slack": -1}),
    ] {
        assert_eq!(limit(&wrong), None);
    }
}

/// Guards against decoding an entry's name to the instance id of another endpoint. The balancer puts
/// the instance id into the 8 bytes before a forwarded packet, and the receiving host checks it.
#[test]
fn instance_id_is_decoded_from_the_name() {
    let instance_id =
        |id: &str| decode_server(id, &server_entry()).map(|t| u64::from(t.instance_id));
    assert_eq!(instance_id("i-7f3a91c255"), Ok(0x7f_3a91_c255));
    assert_eq!(instance_id("i-ffffffffffffffff"), Ok(u64::MAX));
    // The name has more digits than fit into 64 bits; the instance id 0 matches any endpoint.
    assert_eq!(instance_id("i-1ffffffffffffffff"), Ok(0));
    assert!(instance_id("i-").is_err());
    assert!(instance_id("ghost").is_err());
    assert!(instance_id("").is_err());
}

macro_rules! malformed_entries {
    ($($name:ident: $field:literal = $value:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut entry = server_entry();
                entry[$field] = $value;
                assert!(decode_server("i-00c0ffee", &entry).is_err());
            }
        )*
    };
}

malformed_entries! {
    unknown_state_is_rejected: "state" = json!("leaving");
    address_without_a_port_is_rejected: "address" = json!("10.0.0.1");
    zero_slots_are_rejected: "slots" = json!(0);
    too_many_slots_are_rejected: "slots" = json!(70_000);
    start_time_as_text_is_rejected: "born" = json!("yesterday");
    fractional_start_time_is_rejected: "born" = json!(1.5);
}

fn boot_settings() -> Value {
    json!({
        "node_name": "front-1", "ip": "10.1.0.10", "zone": "lowell", "new_field": {"a": []},
        "listen": {"datagram_address": "10.1.0.10:8172", "ready": "10.1.0.10:8167",
                   "control": "10.1.0.10:8166"},
        "seeds": ["10.1.0.10:8166"],
        "bounds": {"grace_s": 6, "flow_lifetime_s": 60, "other": true},
        "platform": {"address": "10.200.1.7:8169"},
    })
}

/// Guards against rejecting settings because of unknown fields.
#[test]
fn unknown_settings_are_ignored() {
    let file = BootFile::parse(boot_settings().to_string().as_bytes(), "boot.json").unwrap();
    let settings = file.edge_settings(Some(9_000));
    assert_eq!(&*settings.name, "front-1");
    assert_eq!(settings.metrics, Some("10.1.0.10:9000".parse().unwrap()));
    assert_eq!(settings.stop_within.as_millis(), 4_800);
}

/// Guards against the admission of new flows by route and caller where the deployment does not ask
/// for it, and its absence where it does.
#[test]
fn room_follows_the_contracts() {
    for (contracts, expected) in [
        (Value::Null, false),
        (json!(["places"]), false),
        (json!(["places", "pressure"]), true),
        (json!({"pressure": {}}), true),
        (json!("pressure"), false),
    ] {
        let mut value = boot_settings();
        value["contracts"] = contracts.clone();
        let file = BootFile::parse(value.to_string().as_bytes(), "boot.json").unwrap();
        let room = file.edge_settings(None).steering.room;
        assert_eq!(room.enabled, expected, "of {contracts}");
    }
    let file = BootFile::parse(boot_settings().to_string().as_bytes(), "boot.json").unwrap();
    assert!(!file.edge_settings(None).steering.room.enabled);
}

/// Guards against a configuration that is late because the answer to a watch was lost. The loss is
/// detected after the wait plus the time-out of a call; the retry must still be answered within the
/// bound.
#[test]
fn watch_wait_leaves_time_for_a_retry() {
    for (bound, expected_ms) in [
        (3_000, 1_200),
        (5_000, 3_200),
        (60_000, 4_000),
        (1_000, 500),
    ] {
        let mut value = boot_settings();
        value["bounds"]["config_apply_ms"] = json!(bound);
        let file = BootFile::parse(value.to_string().as_bytes(), "boot.json").unwrap();
        let wait = file.edge_settings(None).watch.watch_wait;
        assert_eq!(wait.as_millis(), expected_ms, "of {bound}");
    }
    let file = BootFile::parse(boot_settings().to_string().as_bytes(), "boot.json").unwrap();
    assert_eq!(file.edge_settings(None).watch, WatchSettings::default());
}

/// Guards against drained zones that are not read where the platform has a bound for them, and
/// against calls for them elsewhere.
#[test]
fn zone_drains_are_read_where_there_is_a_bound() {
    for (bound, enabled) in [(json!(null), false), (json!(5_000), true)] {
        let mut value = boot_settings();
        value["bounds"]["evacuate_ms"] = bound;
        let file = BootFile::parse(value.to_string().as_bytes(), "boot.json").unwrap();
        let settings = file.edge_settings(None);
        assert_eq!(settings.steering.zone_drains.enabled, enabled);
        assert_eq!(settings.zone_watch.watch_wait.as_secs(), 30);
    }
    let file = BootFile::parse(boot_settings().to_string().as_bytes(), "boot.json").unwrap();
    assert!(!file.edge_settings(None).steering.zone_drains.enabled);
}

macro_rules! malformed_settings {
    ($($name:ident: $pointer:literal = $value:expr => $path:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut value = boot_settings();
                *value.pointer_mut($pointer).unwrap() = $value;
                let e = BootFile::parse(value.to_string().as_bytes(), "boot.json").unwrap_err();
                let text = e.to_string();
                assert!(text.contains("boot.json"), "{text}");
                assert!(text.contains($path), "{text}");
            }
        )*
    };
}

malformed_settings! {
    listen_address_must_be_valid: "/listen/ready" = json!("here") => "$.listen.ready";
    zone_must_be_text: "/zone" = json!(5) => "$.zone";
    seeds_must_be_a_list: "/seeds" = json!("10.1.0.1:1") => "$.seeds";
    bounds_must_be_numbers: "/bounds/grace_s" = json!("6") => "$.bounds.grace_s";
    bounds_must_not_be_negative: "/bounds/grace_s" = json!(-1) => "$.bounds.grace_s";
    configuration_bound_must_be_a_number: "/bounds" = json!({
        "grace_s": 6, "flow_lifetime_s": 60, "config_apply_ms": "soon"
    }) => "$.bounds.config_apply_ms";
    configuration_bound_must_not_be_negative: "/bounds" = json!({
        "grace_s": 6, "flow_lifetime_s": 60, "config_apply_ms": -1
    }) => "$.bounds.config_apply_ms";
    evacuation_bound_must_be_a_number: "/bounds" = json!({
        "grace_s": 6, "flow_lifetime_s": 60, "evacuate_ms": "soon"
    }) => "$.bounds.evacuate_ms";
    bounds_must_be_finite_times: "/bounds/flow_lifetime_s" = json!(1e300) => "flow_lifetime_s";
    store_must_be_an_address: "/platform/address" = json!(null) => "$.platform.address";
}

/// Guards against rejecting a whole configuration because of one invalid route.
#[test]
fn invalid_routes_are_skipped() {
    let route = |host: &str, port: &str| {
        json!({"name": "r", "host": host, "path_prefix": port, "kind": "safe",
               "priority": 1, "service": "gradebook"})
    };
    let spec = json!({
        "version": 40,
        "routes": [
            route("198.18.0.1", "/443/"),
            route("198.18.0.1", "/none/"),
            route("somewhere", "/443/"),
            {"name": "r"},
            {"name": "s", "host": "198.18.0.2", "path_prefix": "/80/", "kind": "upload",
             "priority": 2, "backends": [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}]},
        ],
        "limits": {"idle_timeout_ms": 15_000},
    });
    let DecodedConfiguration { table, faults } = decode_configuration(&spec).unwrap();
    assert_eq!((table.len(), faults.len()), (2, 3));
    assert_eq!(table.version(), 40.into());
    let split = table.get("198.18.0.2:80".parse().unwrap()).unwrap();
    assert_eq!(split.services.len(), 2);
}

/// Guards against services that are unknown because they have no route or no limits, or because the
/// entry beside theirs is malformed.
#[test]
fn services_are_decoded_each_on_its_own() {
    let spec = json!({
        "version": 1,
        "routes": [{"name": "r", "host": "198.18.0.1", "path_prefix": "/443/", "kind": "safe",
                    "priority": 1, "service": "gradebook"}],
        "services": [{"name": "corevault", "health_path": "/health"}, 7, {"name": null}, {}],
    });
    let table = decode_configuration(&spec).unwrap().table;
    for (name, expected) in [
        ("gradebook", true),
        ("corevault", true),
        ("inventory", false),
    ] {
        assert_eq!(
            table.has_service(ServiceId::from_name(name)),
            expected,
            "{name}"
        );
    }
}

/// Decodes a configuration with one route and returns the route and the faults.
fn decode_with(field: &str, value: Value) -> (Option<Route>, Vec<Box<str>>) {
    let mut route = json!({
        "name": "r-1", "host": "198.18.0.1", "path_prefix": "/443/", "kind": "safe",
        "timeout_ms": 1_500, "target_latency_ms": 250, "priority": 1, "service": "gradebook",
    });
    route[field] = value;
    let spec = json!({"version": 1, "routes": [route], "limits": {"idle_timeout_ms": 15_000}});
    let decoded = decode_configuration(&spec).unwrap();
    let route = decoded.table.get("198.18.0.1:443".parse().unwrap());
    (route.cloned(), decoded.faults)
}

macro_rules! optional_fields {
    ($($name:ident: $field:literal = $value:expr => $get:expr, $expected:expr, $faults:expr;)*) => {
        $(
            /// Guards against routes that are not served because of a field that only tunes them.
            #[test]
            fn $name() {
                let (route, faults) = decode_with($field, $value);
                let route = route.expect("route is served");
                let get: fn(&Route) -> _ = $get;
                assert_eq!(get(&route), $expected);
                assert_eq!(faults.len(), $faults, "{faults:?}");
                assert!(faults.iter().all(|f| f.contains("r-1") && f.contains($field)), "{faults:?}");
            }
        )*
    };
}

optional_fields! {
    download_is_served: "kind" = json!("download") => |r| r.kind, RouteKind::Download, 0;
    kind_of_a_later_version_is_served: "kind" = json!("stream") => |r| r.kind, RouteKind::Other, 1;
    kind_of_another_type_is_served: "kind" = json!({"a": 1}) => |r| r.kind, RouteKind::Other, 1;
    missing_kind_is_served: "kind" = Value::Null => |r| r.kind, RouteKind::Other, 1;
    priority_as_text_is_served: "priority" = json!("high") => |r| r.priority, 0, 1;
    large_priority_is_served: "priority" = json!(1_000) => |r| r.priority, u8::MAX, 0;
    missing_priority_is_served: "priority" = Value::Null => |r| r.priority, 0, 0;
    latency_target_is_decoded: "target_latency_ms" = json!(250)
        => |r| r.latency_target.map(|d| d.as_millis()), Some(250), 0;
    fractional_latency_target_is_served: "target_latency_ms" = json!(0.5)
        => |r| r.latency_target.map(|d| d.as_micros()), Some(500), 0;
    negative_latency_target_is_ignored: "target_latency_ms" = json!(-1)
        => |r| r.latency_target, None, 1;
}

/// Guards against ignoring a whole configuration because of a limit.
#[test]
fn malformed_limits_do_not_affect_routes() {
    for limits in [
        json!(null),
        json!([]),
        json!({"idle_timeout_ms": "long"}),
        json!({"idle_timeout_ms": -1}),
    ] {
        let spec = json!({
            "version": 1, "limits": limits,
            "routes": [{"name": "r", "host": "198.18.0.1", "path_prefix": "/443/", "kind": "safe",
                        "priority": 1, "service": "gradebook"}],
        });
        let decoded = decode_configuration(&spec).unwrap();
        assert_eq!(decoded.table.len(), 1);
    }
}
