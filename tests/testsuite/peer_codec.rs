//! Tests the compact encoding of updates between balancers.

use std::net::SocketAddrV4;
use std::time::Duration;

use proptest::prelude::*;
use prost::Message;

use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::steering::{
    DirectoryListing, DirectoryUpdate, InstanceState, KnownState, PeerUpdate, Position, Route,
    RouteDelta, RouteKind, TargetChange, TargetInstance, WeightedService,
};
use zinniadrift_proto::{PeerUpdateError, v1};

fn address() -> impl Strategy<Value = SocketAddrV4> {
    (any::<u32>(), any::<u16>()).prop_map(|(ip, port)| SocketAddrV4::new(ip.into(), port))
}

fn duration() -> impl Strategy<Value = Duration> {
    any::<u64>().prop_map(Duration::from_nanos)
}

fn instance() -> impl Strategy<Value = TargetInstance> {
    let identity = ("[a-z0-9-]{1,14}", any::<u32>(), address(), "[a-z]{1,9}");
    let state = prop_oneof![Just(InstanceState::Ready), Just(InstanceState::Draining)];
    let rest = (
        any::<u64>(),
        1..=u16::MAX,
        state,
        duration(),
        any::<Option<u64>>(),
    );
    (identity, rest).prop_map(|((name, service, address, zone), rest)| {
        let (instance_id, slots, state, warm_up, started_at_ms) = rest;
        TargetInstance {
            name: name.into(),
            service: ServiceId::from(service),
            address,
            zone: zone.into_boxed_str().into(),
            instance_id: instance_id.into(),
            slots,
            state,
            warm_up,
            started_at_ms,
        }
    })
}

fn position() -> impl Strategy<Value = Position> {
    any::<(u64, u64)>().prop_map(|(era, revision)| Position::new(era.into(), revision.into()))
}

fn known_state() -> impl Strategy<Value = KnownState> {
    (position(), position(), any::<u64>()).prop_map(|(targets, routes, version)| KnownState {
        targets,
        routes,
        version: version.into(),
    })
}

fn route() -> impl Strategy<Value = Route> {
    let kind = prop_oneof![
        Just(RouteKind::Idempotent),
        Just(RouteKind::NonIdempotent),
        Just(RouteKind::Upload),
        Just(RouteKind::Download),
        Just(RouteKind::Other),
    ];
    let service = any::<(u32, u32)>().prop_map(|(service, weight)| WeightedService {
        service: ServiceId::from(service),
        weight,
    });
    let services = prop::collection::vec(service, 0..3);
    let times = (prop::option::of(duration()), prop::option::of(duration()));
    (
        "[a-z0-9-]{0,20}",
        address(),
        services,
        kind,
        any::<u8>(),
        times,
    )
        .prop_map(
            |(name, address, services, kind, priority, (latency_target, timeout))| Route {
                name: name.into(),
                address,
                services,
                kind,
                priority,
                latency_target,
                timeout,
            },
        )
}

fn delta() -> impl Strategy<Value = RouteDelta> {
    let routes = prop::collection::vec(route(), 0..8);
    let removed = prop::collection::vec(address(), 0..8);
    (
        any::<Option<u64>>(),
        any::<u64>(),
        duration(),
        routes,
        removed,
    )
        .prop_map(|(base, version, idle_timeout, put, removed)| RouteDelta {
            base: base.map(Into::into),
            version: version.into(),
            idle_timeout,
            put,
            removed,
        })
}

fn update() -> impl Strategy<Value = PeerUpdate> {
    let change = prop_oneof![
        4 => instance().prop_map(TargetChange::Put),
        1 => "[a-z0-9-]{1,14}".prop_map(|name| TargetChange::Removed(name.into())),
    ];
    let targets = prop_oneof![
        prop::collection::vec(change, 0..12).prop_map(DirectoryUpdate::Changes),
        prop::collection::vec(instance(), 0..12).prop_map(|targets| {
            let as_of = Position::ZERO;
            DirectoryUpdate::Listing(DirectoryListing { as_of, targets })
        }),
    ];
    let ages = (duration(), duration());
    (
        known_state(),
        known_state(),
        ages,
        targets,
        prop::option::of(delta()),
    )
        .prop_map(
            |(base, known, (directory_age, routes_age), mut targets, routes)| {
                if let DirectoryUpdate::Listing(listing) = &mut targets {
                    listing.as_of = known.targets;
                }
                PeerUpdate {
                    base,
                    known,
                    directory_age,
                    routes_age,
                    targets,
                    routes,
                }
            },
        )
}

proptest! {
    /// Guards against information that is lost or changed between two balancers.
    #[test]
    fn update_survives_encoding(update in update()) {
        let bytes = v1::PeerUpdate::from(update.clone()).encode_to_vec();
        let decoded = v1::PeerUpdate::decode(bytes.as_slice()).unwrap();
        prop_assert_eq!(PeerUpdate::try_from(decoded), Ok(update));
    }

    /// Guards against a panic on bytes that no balancer sends, and on messages with single bytes
    /// changed.
    #[test]
    fn malformed_update_does_not_panic(
        update in update(),
        noise in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        random in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut bytes = v1::PeerUpdate::from(update).encode_to_vec();
        for (index, value) in noise {
            let index = index.index(bytes.len());
            bytes[index] = value;
        }
        for bytes in [bytes, random] {
            if let Ok(decoded) = v1::PeerUpdate::decode(bytes.as_slice()) {
                let _ = PeerUpdate::try_from(decoded);
            }
        }
    }
}

macro_rules! refused {
    ($($name:ident: $change:expr => $error:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut update = message();
                let change: fn(&mut v1::PeerUpdate) = $change;
                change(&mut update);
                assert_eq!(PeerUpdate::try_from(update).unwrap_err(), $error);
            }
        )*
    };
}

refused! {
    missing_base: |u| u.base = None => PeerUpdateError::Missing("base");
    missing_state: |u| u.known = None => PeerUpdateError::Missing("known");
    unknown_zone: |u| u.zones.clear() => PeerUpdateError::UnknownZone;
    empty_change: |u| u.changes[0].change = None
        => PeerUpdateError::Missing("the change of a target");
    no_slots: |u| target(u).slots = 0 => PeerUpdateError::OutOfRange("slots");
    too_many_slots: |u| target(u).slots = 65_536 => PeerUpdateError::OutOfRange("slots");
    no_address: |u| target(u).address = None => PeerUpdateError::Missing("the address of a target");
    port_out_of_range: |u| target(u).address.as_mut().unwrap().port = 65_536
        => PeerUpdateError::OutOfRange("port");
    removal_in_a_full_list: |u| {
        u.full = true;
        u.changes[0].change = Some(v1::target_change::Change::Removed("i-01".into()));
    } => PeerUpdateError::OutOfRange("a change in a full list");
}

fn message() -> v1::PeerUpdate {
    let target = v1::Target {
        name: "i-01".into(),
        address: Some(v1::ServiceAddress { ip: 1, port: 80 }),
        slots: 2,
        ..v1::Target::default()
    };
    v1::PeerUpdate {
        base: Some(v1::KnownState::default()),
        known: Some(v1::KnownState::default()),
        changes: vec![v1::TargetChange {
            change: Some(v1::target_change::Change::Put(target)),
        }],
        zones: vec!["lowell".into()],
        ..v1::PeerUpdate::default()
    }
}

fn target(update: &mut v1::PeerUpdate) -> &mut v1::Target {
    match update.changes[0].change.as_mut().unwrap() {
        v1::target_change::Change::Put(target) => target,
        v1::target_change::Change::Removed(name) => panic!("{name} is removed"),
    }
}

/// Guards against lists whose transfer delays the start of a balancer behind a slow link: 600
/// targets took 270 kB as JSON.
#[test]
fn full_list_of_the_large_site_is_compact() {
    let targets = (0_u16..600).map(|n| TargetInstance {
        name: format!("i-{:010x}", u64::from(n) * 1_048_573).into(),
        service: ServiceId::from_name(if n % 5 == 0 { "corevault" } else { "gradebook" }),
        address: SocketAddrV4::new([10, 130, (n >> 8) as u8, n as u8].into(), 8_080),
        zone: ["lowell", "nashua", "concord", "manchester", "haverhill"][usize::from(n % 5)].into(),
        instance_id: (u64::from(n) * 1_048_573).into(),
        slots: 2,
        state: InstanceState::Ready,
        warm_up: Duration::ZERO,
        started_at_ms: Some(1_796_000_000_000),
    });
    let targets = targets.collect();
    let as_of = 605.into();
    let listing = DirectoryListing { as_of, targets };
    let update = PeerUpdate {
        base: KnownState::default(),
        known: KnownState::default(),
        directory_age: Duration::ZERO,
        routes_age: Duration::ZERO,
        targets: DirectoryUpdate::Listing(listing),
        routes: None,
    };
    let bytes = v1::PeerUpdate::from(update).encode_to_vec().len();
    assert!(bytes < 60 * 600, "{bytes} bytes");
}
