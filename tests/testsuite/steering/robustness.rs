//! Checks that no input stops a balancer: packets, lists, changes, configurations and updates of
//! peers with any values, in any order.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::steering::{
    Cookie, DirectoryListing, PeerUpdate, Position, ProbeResult, Route, RouteKind, RouteTable,
    Segment, SegmentKind, Steering, SteeringSettings, TargetChange, TargetInstance, Verdict,
};
use zinniadrift_core::units::MonoTime;

use super::world::{SERVICE, STREAM, World, address, route, target};
use crate::peer_values;

/// One input of a balancer.
#[derive(Clone, Debug)]
enum Event {
    Packet(Segment),
    /// A packet of a flow that the balancer has forwarded, with a valid cookie.
    Known(Segment),
    Listing(Position, Vec<TargetInstance>),
    Changes(Position, Vec<TargetChange>),
    Routes(Position, u64, Duration, Vec<Route>),
    Update(Box<PeerUpdate>),
    Probes(ProbeResult),
    Pause,
    Advance(Duration),
}

const ADDRESSES: [&str; 2] = ["198.18.0.1:443", "198.18.0.2:80"];

fn segment() -> impl Strategy<Value = Segment> {
    let kind = prop_oneof![
        4 => (0_u32..4).prop_map(|retransmissions| SegmentKind::Open { retransmissions }),
        1 => any::<u32>().prop_map(|retransmissions| SegmentKind::Open { retransmissions }),
        6 => Just(SegmentKind::Established),
        1 => Just(SegmentKind::Close),
        1 => Just(SegmentKind::Reset),
    ];
    let numbers = (any::<u32>(), any::<u32>(), any::<u16>(), any::<u32>());
    (0_usize..2, 0_u16..12, kind, numbers).prop_map(
        |(service, port, kind, (seq, ack, len, cookie))| Segment {
            flow: FlowKey {
                caller: SocketAddrV4::new([100, 64, 0, 7].into(), port),
                service: address(ADDRESSES[service]),
            },
            kind,
            cookie: Cookie::from(cookie),
            seq,
            ack,
            len,
        },
    )
}

/// Returns a target, of the service that the routes lead to in most cases.
fn instance() -> impl Strategy<Value = TargetInstance> {
    (peer_values::instance(), 0_u8..6, any::<bool>()).prop_map(|(instance, n, is_known)| {
        if !is_known {
            return instance;
        }
        TargetInstance {
            name: format!("i-{n:04x}").into(),
            service: ServiceId::from_name(SERVICE),
            slots: instance.slots.clamp(1, 2),
            ..instance
        }
    })
}

fn routes() -> impl Strategy<Value = Vec<Route>> {
    let known = (peer_values::route(), 0_usize..2).prop_map(|(route, n)| Route {
        address: address(ADDRESSES[n]),
        services: vec![zinniadrift_core::steering::WeightedService {
            service: ServiceId::from_name(SERVICE),
            weight: 1,
        }],
        ..route
    });
    prop::collection::vec(prop_oneof![3 => known, 1 => peer_values::route()], 0..5)
}

fn event() -> impl Strategy<Value = Event> {
    let change = prop_oneof![
        3 => instance().prop_map(TargetChange::Put),
        1 => (0_u8..6).prop_map(|n| TargetChange::Removed(format!("i-{n:04x}").into())),
    ];
    let near = (0_u64..3, 0_u64..400)
        .prop_map(|(era, revision)| Position::new(era.into(), revision.into()));
    let position = prop_oneof![8 => near, 1 => peer_values::position()];
    let time = prop_oneof![
        8 => (0_u64..3_000).prop_map(Duration::from_millis),
        1 => any::<u64>().prop_map(Duration::from_micros),
    ];
    let instances = prop::collection::vec(instance(), 0..8);
    let changes = prop::collection::vec(change, 0..4);
    let result = prop_oneof![
        Just(ProbeResult::Accepted),
        Just(ProbeResult::Refused),
        Just(ProbeResult::TimedOut),
        Just(ProbeResult::Inconclusive),
    ];
    prop_oneof![
        6 => segment().prop_map(Event::Packet),
        12 => segment().prop_map(Event::Known),
        2 => (position.clone(), instances).prop_map(|(p, list)| Event::Listing(p, list)),
        2 => (position.clone(), changes).prop_map(|(p, list)| Event::Changes(p, list)),
        2 => (position, any::<u64>(), peer_values::duration(), routes())
            .prop_map(|(p, version, idle, list)| Event::Routes(p, version, idle, list)),
        1 => peer_values::update().prop_map(|u| Event::Update(Box::new(u))),
        2 => result.prop_map(Event::Probes),
        1 => Just(Event::Pause),
        6 => time.prop_map(Event::Advance),
    ]
}

fn apply(core: &mut Steering, now: &mut MonoTime, cookies: &mut [Cookie; 2], event: Event) {
    match event {
        Event::Packet(seg) => on_packet(core, *now, cookies, &seg),
        Event::Known(seg) => {
            let n = usize::from(seg.flow.service == address(ADDRESSES[1]));
            let cookie = cookies[n];
            on_packet(core, *now, cookies, &Segment { cookie, ..seg });
        }
        Event::Listing(as_of, targets) => {
            core.on_listing(*now, Some(*now), DirectoryListing { as_of, targets });
        }
        Event::Changes(as_of, changes) => core.on_changes(*now, Some(*now), changes, as_of),
        Event::Routes(as_of, version, idle_timeout, routes) => {
            let table = RouteTable::new(version.into(), idle_timeout, routes);
            core.on_routes(*now, Some(*now), as_of, Arc::new(table));
        }
        Event::Update(update) => core.on_peer_update(*now, core.pause_count(), *update),
        Event::Probes(result) => {
            let probes: Vec<_> = core.take_probes().collect();
            for probe in probes {
                let _ = core.on_probe(*now, &probe.name, result).len();
            }
        }
        Event::Pause => core.on_pause(*now),
        Event::Advance(time) => *now = *now + time,
    }
    core.tick(*now);
    let _ = core.take_admitted().len();
    core.take_decisions().for_each(drop);
    core.take_response_times().for_each(drop);
    if let Some(update) = core.update_for(*now, Default::default()) {
        assert!(update.known.targets >= update.base.targets);
    }
}

fn on_packet(core: &mut Steering, now: MonoTime, cookies: &mut [Cookie; 2], seg: &Segment) {
    if let Verdict::Forward { cookie, .. } = core.on_segment(now, seg) {
        cookies[usize::from(seg.flow.service == address(ADDRESSES[1]))] = cookie;
    }
}

/// Guards against a panic in the arithmetic of tolerated response times.
#[test]
fn absurd_latency_target_stops_no_balancer() {
    let cfg = SteeringSettings::default();
    let cfg = cfg
        .with_override("admission.queueing_share", "1.0")
        .unwrap();
    let mut w = World::new(1, vec![target(1)]);
    w.core.set_settings(cfg);
    let routes = vec![Route {
        latency_target: Some(Duration::MAX),
        timeout: Some(Duration::MAX),
        ..route(STREAM, RouteKind::Idempotent)
    }];
    w.configure(2, routes);
    let (_, cookie) = w.establish(1, STREAM);
    for n in 0..4 {
        let _ = w.request(1, STREAM, cookie, n * 2_000 + 1);
        w.advance_clock(50);
        w.acknowledge(1, STREAM, cookie, n * 2_000 + 2_000);
    }
}

proptest! {
    /// Guards against a panic that ends the process, for example in the arithmetic of times, sizes
    /// and counts.
    #[test]
    fn no_input_stops_a_balancer(events in prop::collection::vec(event(), 1..400)) {
        let cfg = SteeringSettings { zone: "lowell".into(), ..SteeringSettings::default() };
        let mut core = Steering::new(cfg, 3);
        let mut now = MonoTime::from_millis(1_000);
        let mut cookies = [Cookie::NONE; 2];
        for event in events {
            apply(&mut core, &mut now, &mut cookies, event);
        }
    }
}
