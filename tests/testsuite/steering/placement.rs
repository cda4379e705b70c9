//! Checks the placement of new flows, each test under the load pattern that a rule is meant for.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use zinniadrift_core::steering::{
    InstanceState, ObservationSettings, ResetReason, Route, SteeringSettings, TargetInstance,
};

use super::world::{
    CERTIFICATE, STREAM, UPLOAD, World, ZONE, draining_target, forwarded, remote_target,
    reset_reason, standard_routes, target,
};

fn count_by_target(
    w: &mut World,
    at: &str,
    ports: std::ops::Range<u16>,
) -> HashMap<SocketAddrV4, usize> {
    let mut counts = HashMap::new();
    for port in ports {
        *counts.entry(w.establish(port, at).0).or_default() += 1;
    }
    counts
}

/// Guards against long flows that concentrate on few targets.
#[test]
fn long_flows_spread_evenly() {
    let mut w = World::new(1, (1..=5).map(target).collect());
    let counts = count_by_target(&mut w, STREAM, 0..200);
    assert!(counts.values().all(|n| *n == 40), "{counts:?}");
}

/// Guards against targets with few slots that get as many flows as large ones.
#[test]
fn long_flows_follow_the_slots() {
    let large = TargetInstance {
        slots: 6,
        ..target(1)
    };
    let mut w = World::new(1, vec![large, target(2)]);
    let counts = count_by_target(&mut w, STREAM, 0..400);
    assert!(counts[&target(1).address].abs_diff(300) <= 4, "{counts:?}");
}

/// Guards against requests that wait at a busy target while another is idle.
#[test]
fn requests_go_to_idle_targets() {
    let mut w = World::new(1, (1..=5).map(target).collect());
    let mut reached = HashMap::new();
    // Ten concurrent requests without a response, which makes two per target.
    for port in 0..10 {
        let (to, cookie) = w.establish(port, CERTIFICATE);
        forwarded(w.request(port, CERTIFICATE, cookie, 1));
        *reached.entry(to).or_insert(0) += 1;
    }
    assert!(reached.values().all(|n| *n == 2), "{reached:?}");
}

/// Guards against slow targets that get as many requests as the others.
#[test]
fn slow_target_gets_fewer_requests() {
    let mut w = World::new(1, (1..=4).map(target).collect());
    let mut counts: HashMap<SocketAddrV4, usize> = HashMap::new();
    let mut active: Vec<(u16, SocketAddrV4, _, u64)> = Vec::new();
    // 25 requests a second for 20 s; target 1 takes 300 ms and the others 30 ms.
    for step in 0..2_000_u64 {
        w.advance_clock(10);
        let now = step * 10;
        w.core.tick(w.now);
        let (done, rest) = active.into_iter().partition(|(_, _, _, at)| *at <= now);
        active = rest;
        for (port, _, cookie, _) in done {
            w.acknowledge(port, CERTIFICATE, cookie, 100);
        }
        if step % 4 == 0 {
            let port = step as u16;
            let (to, cookie) = w.establish(port, CERTIFICATE);
            forwarded(w.request(port, CERTIFICATE, cookie, 1));
            let service_ms = if to == target(1).address { 300 } else { 30 };
            *counts.entry(to).or_default() += 1;
            active.push((port, to, cookie, now + service_ms));
        }
    }
    let slow = counts[&target(1).address];
    assert!(slow < 500 / 8, "{slow} of 500, an even share is 125");
}

/// Guards against uploads that cross zones while a target of the own zone has capacity.
#[test]
fn uploads_stay_in_the_zone() {
    let mut w = World::new(1, vec![target(1), remote_target(2), remote_target(3)]);
    for port in 0..4 {
        let (to, cookie) = w.establish(port, UPLOAD);
        forwarded(w.request(port, UPLOAD, cookie, 1));
        assert_eq!(to, target(1).address, "upload {port}");
    }
}

/// Guards against uploads that queue in the own zone while other zones are idle.
#[test]
fn uploads_leave_a_full_zone() {
    let mut w = World::new(1, vec![target(1), remote_target(2), remote_target(3)]);
    let far = (0..24).filter(|port| {
        let (to, cookie) = w.establish(*port, UPLOAD);
        forwarded(w.request(*port, UPLOAD, cookie, 1));
        to != target(1).address
    });
    assert!(far.count() >= 12);
}

/// Guards against uploads that cross zones without need once observations are shared, and against
/// uploads that queue in a crowded zone.
#[test]
fn uploads_with_shared_observations_leave_a_crowded_zone_only() {
    let targets = || vec![target(1), target(2), remote_target(3), remote_target(4)];
    let mut w = World::new(1, targets());
    w.core.set_settings(SteeringSettings {
        zone: ZONE.into(),
        observations: ObservationSettings { enabled: true },
        ..SteeringSettings::default()
    });
    let near = [target(1).address, target(2).address];
    let mut far = 0;
    for port in 0..24 {
        let (to, cookie) = w.establish(port, UPLOAD);
        forwarded(w.request(port, UPLOAD, cookie, 1));
        w.advance(100);
        let crosses = !near.contains(&to);
        assert!(port >= 2 || !crosses, "upload {port}");
        far += u32::from(crosses);
    }
    assert!(
        far >= 8,
        "{far} of 24 uploads without an answer left the zone"
    );
}

/// Guards against long flows that cross zones without need and break in a partition between zones.
#[test]
fn long_flows_prefer_the_zone() {
    let mut w = World::new(
        1,
        vec![target(1), target(2), remote_target(3), remote_target(4)],
    );
    let counts = count_by_target(&mut w, STREAM, 0..90);
    let near = counts[&target(1).address] + counts[&target(2).address];
    assert!(near >= 78, "{near} of 90");
}

/// Guards against a zone with few targets that carries all flows of its callers alone.
#[test]
fn long_flows_leave_a_crowded_zone() {
    let mut targets = vec![target(1)];
    targets.extend((2..=9).map(remote_target));
    let mut w = World::new(1, targets);
    let mut counts: HashMap<SocketAddrV4, usize> = HashMap::new();
    for port in 0..200 {
        let (to, cookie) = w.establish(port, STREAM);
        let flows = counts.entry(to).or_default();
        *flows += 1;
        // One flow in ten has an active request, so that 20 flows use a target's 2 slots.
        if flows.is_multiple_of(10) {
            forwarded(w.request(port, STREAM, cookie, 1));
        }
    }
    assert!(counts[&target(1).address] <= 40, "{counts:?}");
}

/// Guards against placing new flows on a target that is leaving.
#[test]
fn draining_target_gets_no_new_flow() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    w.put(draining_target(1));
    for port in 0..100 {
        assert_eq!(forwarded(w.open(port, STREAM, 0)), target(2).address);
    }
}

/// Guards against sending a retransmitted opening packet to the same target after that has started
/// to drain.
#[test]
fn retransmission_leaves_a_draining_target() {
    let mut w = World::new(1, vec![target(1)]);
    assert_eq!(forwarded(w.open(1, STREAM, 0)), target(1).address);
    w.change(vec![
        zinniadrift_core::steering::TargetChange::Put(draining_target(1)),
        zinniadrift_core::steering::TargetChange::Put(target(2)),
    ]);
    w.advance_clock(200);
    assert_eq!(forwarded(w.open(1, STREAM, 1)), target(2).address);
}

/// Guards against retransmissions that go to the same unresponsive target and lose 400 ms each.
#[test]
fn retransmissions_go_to_other_targets() {
    let mut w = World::new(1, (1..=3).map(target).collect());
    for port in 0..20 {
        let first = forwarded(w.open(port, STREAM, 0));
        w.advance_clock(200);
        let second = forwarded(w.open(port, STREAM, 1));
        w.advance_clock(400);
        let third = forwarded(w.open(port, STREAM, 2));
        assert!(
            first != second && second != third && first != third,
            "port {port}"
        );
        w.advance_clock(5_000);
    }
}

/// Guards against new flows that each try a dead target.
#[test]
fn silent_target_is_avoided() {
    let mut w = World::new(1, (1..=4).map(target).collect());
    let dead = forwarded(w.open(0, STREAM, 0));
    w.advance_clock(200);
    forwarded(w.open(0, STREAM, 1));
    for port in 1..50 {
        assert_ne!(forwarded(w.open(port, STREAM, 0)), dead);
    }
    // After the suspicion timeout a flow serves as a probe.
    w.advance_clock(1_600);
    let tried = (100..200).any(|port| forwarded(w.open(port, STREAM, 0)) == dead);
    assert!(tried);
}

/// Guards against avoiding a target that responds.
#[test]
fn response_ends_suspicion() {
    let mut w = World::new(1, (1..=2).map(target).collect());
    let silent = forwarded(w.open(0, STREAM, 0));
    let cookie = super::world::cookie_of(w.open(0, STREAM, 0));
    w.advance_clock(200);
    forwarded(w.open(0, STREAM, 1));
    // The late response of the first target establishes the flow there.
    w.send(0, STREAM, cookie);
    let reached = (1..100).any(|port| forwarded(w.open(port, STREAM, 0)) == silent);
    assert!(reached);
}

/// Guards against placing new flows in an unreachable zone.
#[test]
fn silent_zone_is_avoided() {
    let mut targets: Vec<_> = (1..=2).map(target).collect();
    targets.extend((3..=20).map(remote_target));
    let mut w = World::new(1, targets);
    // The targets of the balancer's own zone get so many flows that some go to the other zone.
    let mut unanswered = 0;
    for port in 0..300 {
        let to = forwarded(w.open(port, STREAM, 0));
        if to == target(1).address || to == target(2).address {
            continue;
        }
        w.advance_clock(1);
        forwarded(w.open(port, STREAM, 1));
        unanswered += 1;
        if unanswered == 2 {
            break;
        }
    }
    assert_eq!(unanswered, 2);
    for port in 1_000..1_300 {
        let to = forwarded(w.open(port, STREAM, 0));
        assert!(to == target(1).address || to == target(2).address);
    }
}

/// Guards against refusing flows of a service because all its targets are under suspicion.
#[test]
fn silent_targets_are_used_without_alternative() {
    let mut w = World::new(1, vec![target(1)]);
    for port in 0..10 {
        for retransmissions in 0..3 {
            assert_eq!(
                forwarded(w.open(port, STREAM, retransmissions)),
                target(1).address
            );
            w.advance_clock(200);
        }
    }
}

/// Guards against overloading a target that has not warmed up.
#[test]
fn cold_target_gets_fewer_flows() {
    let cold = TargetInstance {
        warm_up: Duration::from_secs(2),
        ..target(1)
    };
    let mut w = World::new(1, vec![cold, target(2)]);
    let counts = count_by_target(&mut w, STREAM, 0..260);
    // A cold target is 1.6 times slower, so it gets 100 flows and the other gets 160.
    assert!(counts[&target(1).address].abs_diff(100) <= 4, "{counts:?}");
}

/// Guards against placing flows of a service on a target that moved to another service.
#[test]
fn moved_target_leaves_its_former_service() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    let moved = TargetInstance {
        service: zinniadrift_core::ids::ServiceId::from_name("corevault"),
        ..target(1)
    };
    w.put(moved);
    for port in 0..50 {
        assert_eq!(forwarded(w.open(port, STREAM, 0)), target(2).address);
    }
    assert_eq!(target(1).state, InstanceState::Ready);
}

/// Guards against new flows that wait at full targets until their deadline, and against a burst of
/// less urgent requests that leaves no capacity for urgent ones.
#[test]
fn burst_is_refused_least_urgent_first() {
    let mut w = World::new(1, (1..=2).map(target).collect());
    let mut routes = super::world::standard_routes();
    routes[0].priority = 2;
    w.configure(2, routes);
    // No target responds, so requests of the less urgent route queue up.
    let mut accepted = 0;
    for port in 0..100 {
        let verdict = w.open(port, STREAM, 0);
        if reset_reason(verdict).is_some() {
            break;
        }
        let cookie = super::world::cookie_of(verdict);
        forwarded(w.request(port, STREAM, cookie, 1));
        accepted += 1;
    }
    // Each of the two targets has 2 slots and takes three quarters of a queue of 8.
    assert_eq!(accepted, 16);
    let refused = w.open(200, STREAM, 0);
    assert_eq!(reset_reason(refused), Some(ResetReason::Overloaded));
    let mut first = None;
    for port in 300..304 {
        let (_, cookie) = w.establish(port, CERTIFICATE);
        forwarded(w.request(port, CERTIFICATE, cookie, 1));
        first.get_or_insert(cookie);
    }
    let refused = w.open(400, CERTIFICATE, 0);
    assert_eq!(reset_reason(refused), Some(ResetReason::Overloaded));
    // A response frees the capacity for one urgent request.
    w.acknowledge(300, CERTIFICATE, first.expect("an accepted request"), 100);
    forwarded(w.open(401, CERTIFICATE, 0));
}

/// Guards against refusing flows because of opening packets whose callers gave up.
#[test]
fn abandoned_opens_use_no_capacity() {
    let mut w = World::new(1, vec![target(1)]);
    for port in 0..100 {
        forwarded(w.open(port, STREAM, 0));
    }
    w.advance(2_000);
    assert_eq!(w.core.tracked_flows(), 0);
    forwarded(w.open(200, STREAM, 0));
}

/// Guards against refusing flows because of requests whose callers were disconnected.
#[test]
fn abandoned_requests_use_no_capacity() {
    let mut w = World::new(1, vec![target(1)]);
    let mut refused = false;
    for port in 0..30 {
        let verdict = w.open(port, CERTIFICATE, 0);
        refused |= reset_reason(verdict).is_some();
        if !refused {
            let cookie = super::world::cookie_of(verdict);
            w.send(port, CERTIFICATE, cookie);
            forwarded(w.request(port, CERTIFICATE, cookie, 1));
        }
    }
    assert!(refused);
    w.advance(6_000);
    forwarded(w.open(200, CERTIFICATE, 0));
}

/// Guards against placing new flows on an unresponsive target because the others are full (found by
/// `liveness::majority_of_targets_is_never_dead`).
#[test]
fn silent_target_gets_no_flow_in_overload() {
    let mut w = World::new(1, (1..=2).map(target).collect());
    let silent = forwarded(w.open(0, STREAM, 0));
    w.advance_clock(200);
    forwarded(w.open(0, STREAM, 1));
    for port in 1..40 {
        let verdict = w.open(port, STREAM, 0);
        if reset_reason(verdict).is_none() {
            assert_ne!(forwarded(verdict), silent, "flow {port}");
            let cookie = super::world::cookie_of(verdict);
            forwarded(w.request(port, STREAM, cookie, 1));
        }
    }
    let refused = reset_reason(w.open(50, STREAM, 0));
    assert_eq!(refused, Some(ResetReason::Overloaded));
}

/// Guards against targets that look idle because a request of a route with a long timeout takes more
/// than a few seconds.
#[test]
fn long_request_counts_until_its_timeout() {
    for seed in 1..=10 {
        let mut w = World::new(seed, vec![target(1), target(2)]);
        let timeout = Duration::from_secs(12);
        let routes = standard_routes().into_iter().map(|r| Route {
            timeout: Some(timeout),
            ..r
        });
        w.configure(2, routes.collect());
        let (busy, cookie) = w.establish(1, CERTIFICATE);
        forwarded(w.request(1, CERTIFICATE, cookie, 1));
        // The other target has two idle flows, which are less load than a request.
        for port in [2, 3] {
            assert_ne!(w.establish(port, CERTIFICATE).0, busy, "seed {seed}");
        }
        w.advance(8_000);
        assert_ne!(forwarded(w.open(4, CERTIFICATE, 0)), busy, "seed {seed}");
    }
}
