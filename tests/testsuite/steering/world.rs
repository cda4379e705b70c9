//! A test harness that drives a balancer with a virtual clock and callers' packets.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::steering::{
    Cookie, DirectoryListing, InstanceState, PeerUpdate, Position, ResetReason, Route, RouteKind,
    RouteTable, Segment, SegmentKind, Steering, SteeringSettings, TargetChange, TargetInstance,
    Verdict, WeightedService,
};
use zinniadrift_core::units::MonoTime;

pub(super) const ZONE: &str = "lowell";
pub(super) const REMOTE_ZONE: &str = "nashua";
pub(super) const SERVICE: &str = "gradebook";
/// A service of the configuration without a route.
pub(super) const OTHER_SERVICE: &str = "corevault";

/// The address of the route with long flows.
pub(super) const STREAM: &str = "198.18.0.1:443";
/// The address of the route with one request a flow.
pub(super) const CERTIFICATE: &str = "198.18.0.1:8080";
/// The address of the route with large bodies.
pub(super) const UPLOAD: &str = "198.18.0.2:443";

/// A balancer with its virtual clock.
pub(super) struct World {
    pub(super) core: Steering,
    pub(super) now: MonoTime,
    revision: u64,
}

pub(super) fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

/// Returns a ready target in the balancer's zone; `n` is its number.
pub(super) fn target(n: u8) -> TargetInstance {
    TargetInstance {
        name: format!("i-{n:010x}").into(),
        service: ServiceId::from_name(SERVICE),
        address: address(&format!("10.128.0.{n}:8080")),
        zone: ZONE.into(),
        instance_id: u64::from(n).into(),
        slots: 2,
        state: InstanceState::Ready,
        warm_up: Duration::ZERO,
        is_warm_up_unknown: false,
        started_at_ms: None,
    }
}

pub(super) fn remote_target(n: u8) -> TargetInstance {
    TargetInstance {
        zone: REMOTE_ZONE.into(),
        ..target(n)
    }
}

pub(super) fn draining_target(n: u8) -> TargetInstance {
    TargetInstance {
        state: InstanceState::Draining,
        ..target(n)
    }
}

pub(super) fn route(at: &str, kind: RouteKind) -> Route {
    Route {
        name: at.into(),
        address: address(at),
        services: vec![WeightedService {
            service: ServiceId::from_name(SERVICE),
            weight: 1,
        }],
        kind,
        priority: 1,
        latency_target: None,
        timeout: None,
    }
}

pub(super) fn standard_routes() -> Vec<Route> {
    vec![
        route(STREAM, RouteKind::Idempotent),
        route(CERTIFICATE, RouteKind::NonIdempotent),
        route(UPLOAD, RouteKind::Upload),
    ]
}

pub(super) fn table(version: u64, routes: Vec<Route>) -> Arc<RouteTable> {
    let idle_timeout = Duration::from_secs(15);
    let services = [SERVICE, OTHER_SERVICE].map(ServiceId::from_name);
    let table = RouteTable::new(version.into(), idle_timeout, routes);
    Arc::new(table.with_services(services.to_vec()))
}

/// Returns the flow from a caller's port to the route at the address `at`.
pub(super) fn flow(port: u16, at: &str) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new([100, 64, 0, 7].into(), port),
        service: address(at),
    }
}

pub(super) fn packet(flow: FlowKey, kind: SegmentKind, cookie: Cookie) -> Segment {
    Segment {
        flow,
        kind,
        cookie,
        seq: 1,
        ack: 1,
        len: 0,
    }
}

/// Returns the address that a packet was forwarded to; panics if it was not.
pub(super) fn forwarded(verdict: Verdict) -> SocketAddrV4 {
    match verdict {
        Verdict::Forward { to, .. } => to,
        other => panic!("not forwarded: {other:?}"),
    }
}

/// Returns the cookie that a packet was forwarded with; panics if it was not.
pub(super) fn cookie_of(verdict: Verdict) -> Cookie {
    match verdict {
        Verdict::Forward { cookie, .. } => cookie,
        other => panic!("not forwarded: {other:?}"),
    }
}

/// Returns why a flow was reset; `None` if it was not.
pub(super) fn reset_reason(verdict: Verdict) -> Option<ResetReason> {
    match verdict {
        Verdict::Reset { reason, .. } => Some(reason),
        _ => None,
    }
}

impl World {
    /// Returns a balancer without routes and targets.
    pub(super) fn empty(seed: u64) -> Self {
        let cfg = SteeringSettings {
            zone: ZONE.into(),
            ..SteeringSettings::default()
        };
        Self {
            core: Steering::new(cfg, seed),
            now: MonoTime::from_millis(1_000_000),
            revision: 0,
        }
    }

    /// Returns a balancer that knows the standard routes and these targets.
    pub(super) fn new(seed: u64, targets: Vec<TargetInstance>) -> Self {
        let mut world = Self::empty(seed);
        world.list(targets);
        world.configure(1, standard_routes());
        world
    }

    pub(super) fn next_revision(&mut self) -> Position {
        self.revision += 1;
        self.revision.into()
    }

    /// Applies a full list from the store.
    pub(super) fn list(&mut self, targets: Vec<TargetInstance>) {
        let as_of = self.next_revision();
        let listing = DirectoryListing { as_of, targets };
        self.core.on_listing(self.now, Some(self.now), listing);
    }

    /// Applies changes from the store.
    pub(super) fn change(&mut self, changes: Vec<TargetChange>) {
        let as_of = self.next_revision();
        self.core
            .on_changes(self.now, Some(self.now), changes, as_of);
    }

    /// Applies an update that was requested from a peer since the last pause.
    pub(super) fn apply_peer_update(&mut self, update: PeerUpdate) {
        let pauses = self.core.pause_count();
        self.core.on_peer_update(self.now, pauses, update);
    }

    pub(super) fn put(&mut self, instance: TargetInstance) {
        self.change(vec![TargetChange::Put(instance)]);
    }

    pub(super) fn remove(&mut self, n: u8) {
        self.change(vec![TargetChange::Removed(target(n).name)]);
    }

    /// Applies the store's confirmation that nothing has changed.
    pub(super) fn confirm(&mut self) {
        self.change(Vec::new());
        let as_of = self.next_revision();
        self.core.confirm_routes(self.now, as_of);
    }

    pub(super) fn configure(&mut self, version: u64, routes: Vec<Route>) {
        let as_of = self.next_revision();
        let table = table(version, routes);
        self.core.on_routes(self.now, Some(self.now), as_of, table);
    }

    /// Advances the clock in steps; the store confirms the state and maintenance runs in each.
    pub(super) fn advance(&mut self, ms: u64) {
        self.advance_with(ms, true);
    }

    /// Advances the clock in steps during an outage of the store; maintenance runs in each.
    pub(super) fn advance_without_store(&mut self, ms: u64) {
        self.advance_with(ms, false);
    }

    fn advance_with(&mut self, ms: u64, store_is_up: bool) {
        const STEP_MS: u64 = 100;
        for _ in 0..ms / STEP_MS {
            self.now = self.now + Duration::from_millis(STEP_MS);
            if store_is_up {
                self.confirm();
            }
            self.core.tick(self.now);
        }
    }

    pub(super) fn advance_clock(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
    }

    /// Sends an opening packet.
    pub(super) fn open(&mut self, port: u16, at: &str, retransmissions: u32) -> Verdict {
        let seg = packet(
            flow(port, at),
            SegmentKind::Open { retransmissions },
            Cookie::NONE,
        );
        self.core.on_segment(self.now, &seg)
    }

    /// Sends a packet of an open flow without data.
    pub(super) fn send(&mut self, port: u16, at: &str, cookie: Cookie) -> Verdict {
        let seg = packet(flow(port, at), SegmentKind::Established, cookie);
        self.core.on_segment(self.now, &seg)
    }

    /// Sends the first packet of a request; `ack` is the number of response bytes received so far.
    pub(super) fn request(&mut self, port: u16, at: &str, cookie: Cookie, ack: u32) -> Verdict {
        let seg = Segment {
            len: 900,
            ack,
            ..packet(flow(port, at), SegmentKind::Established, cookie)
        };
        self.core.on_segment(self.now, &seg)
    }

    /// Sends the acknowledgement of a response.
    pub(super) fn acknowledge(&mut self, port: u16, at: &str, cookie: Cookie, ack: u32) {
        let seg = Segment {
            ack,
            ..packet(flow(port, at), SegmentKind::Established, cookie)
        };
        forwarded(self.core.on_segment(self.now, &seg));
    }

    /// Opens a flow whose target responds, and returns the target's address and the cookie.
    pub(super) fn establish(&mut self, port: u16, at: &str) -> (SocketAddrV4, Cookie) {
        let verdict = self.open(port, at, 0);
        let (to, cookie) = (forwarded(verdict), cookie_of(verdict));
        assert_eq!(forwarded(self.send(port, at, cookie)), to);
        (to, cookie)
    }
}
