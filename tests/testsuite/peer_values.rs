//! Generates what balancers tell each other, extreme values included.

use std::net::SocketAddrV4;
use std::time::Duration;

use proptest::prelude::*;

use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::steering::{
    CapacityShare, DirectoryListing, DirectoryUpdate, InstanceState, KnownState, PeerUpdate,
    Position, Route, RouteDelta, RouteKind, ServiceWarmUp, ShareGrant, TargetChange,
    TargetInstance, TargetObservation, WeightedService, ZoneDrainsUpdate,
};

pub(crate) fn address() -> impl Strategy<Value = SocketAddrV4> {
    (any::<u32>(), any::<u16>()).prop_map(|(ip, port)| SocketAddrV4::new(ip.into(), port))
}

pub(crate) fn duration() -> impl Strategy<Value = Duration> {
    any::<u64>().prop_map(Duration::from_nanos)
}

pub(crate) fn instance() -> impl Strategy<Value = TargetInstance> {
    let identity = ("[a-z0-9-]{1,14}", any::<u32>(), address(), "[a-z]{1,9}");
    let state = prop_oneof![Just(InstanceState::Ready), Just(InstanceState::Draining)];
    let rest = (
        any::<u64>(),
        1..=u16::MAX,
        state,
        duration(),
        any::<Option<u64>>(),
        any::<bool>(),
    );
    (identity, rest).prop_map(|((name, service, address, zone), rest)| {
        let (instance_id, slots, state, warm_up, started_at_ms, is_warm_up_unknown) = rest;
        TargetInstance {
            name: name.into(),
            service: ServiceId::from(service),
            address,
            zone: zone.into_boxed_str().into(),
            instance_id: instance_id.into(),
            slots,
            state,
            warm_up,
            is_warm_up_unknown,
            started_at_ms,
        }
    })
}

pub(crate) fn position() -> impl Strategy<Value = Position> {
    any::<(u64, u64)>().prop_map(|(era, revision)| Position::new(era.into(), revision.into()))
}

pub(crate) fn known_state() -> impl Strategy<Value = KnownState> {
    let positions = (position(), position(), position());
    (positions, any::<u64>()).prop_map(|((targets, routes, zones), version)| KnownState {
        targets,
        routes,
        version: version.into(),
        zones,
    })
}

pub(crate) fn route() -> impl Strategy<Value = Route> {
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

pub(crate) fn delta() -> impl Strategy<Value = RouteDelta> {
    let routes = prop::collection::vec(route(), 0..8);
    let removed = prop::collection::vec(address(), 0..8);
    (
        any::<Option<u64>>(),
        any::<u64>(),
        duration(),
        routes,
        removed,
        prop::option::of(prop::collection::vec(warm_up(), 0..4)),
        prop::option::of(prop::collection::vec(any::<u32>(), 0..4)),
    )
        .prop_map(
            |(base, version, idle_timeout, put, removed, warm_ups, services)| RouteDelta {
                base: base.map(Into::into),
                version: version.into(),
                idle_timeout,
                put,
                removed,
                warm_ups,
                services: services.map(|list| list.into_iter().map(Into::into).collect()),
            },
        )
}

fn warm_up() -> impl Strategy<Value = ServiceWarmUp> {
    (any::<(u32, u32)>(), duration()).prop_map(|((service, rate), duration)| ServiceWarmUp {
        service: service.into(),
        rate: rate.into(),
        duration,
    })
}

fn share() -> impl Strategy<Value = ShareGrant> {
    any::<(u32, u32, u32)>().prop_map(|(a, b, ms)| ShareGrant {
        share: CapacityShare::new(a.min(b), a.max(b)).unwrap(),
        valid_for: Duration::from_millis(ms.into()),
    })
}

pub(crate) fn zone_drains() -> impl Strategy<Value = ZoneDrainsUpdate> {
    let zones = || {
        let names = prop::collection::vec("[a-z0-9-]{1,14}", 0..4);
        names.prop_map(|names| names.iter().map(|n| n.as_str().into()).collect())
    };
    (position(), duration(), zones(), zones(), duration()).prop_map(
        |(as_of, age, listed, kept, kept_for)| ZoneDrainsUpdate {
            as_of,
            age,
            listed,
            kept,
            kept_for,
        },
    )
}

pub(crate) fn observation() -> impl Strategy<Value = TargetObservation> {
    any::<[u8; TargetObservation::BYTES]>().prop_map(TargetObservation::from_bytes)
}

pub(crate) fn update() -> impl Strategy<Value = PeerUpdate> {
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
    let doubtful = prop::collection::vec("[a-z0-9-]{1,14}", 0..3);
    let observations = (
        prop::collection::vec(observation(), 0..4),
        any::<u64>(),
        any::<u64>(),
    );
    let rest = (
        doubtful,
        prop::option::of(delta()),
        prop::option::of(zone_drains()),
        prop::option::of(share()),
        observations,
    );
    let ages = (duration(), duration());
    (known_state(), known_state(), ages, targets, rest).prop_map(
        |(base, known, (directory_age, routes_age), mut targets, rest)| {
            let (doubtful, routes, zones, share, (observations, epoch, seq)) = rest;
            if let DirectoryUpdate::Listing(listing) = &mut targets {
                listing.as_of = known.targets;
            }
            PeerUpdate {
                base,
                known,
                directory_age,
                routes_age,
                targets,
                doubtful: doubtful.into_iter().map(Into::into).collect(),
                routes,
                zones,
                share,
                observations,
                observations_epoch: epoch.into(),
                observations_seq: seq,
            }
        },
    )
}
