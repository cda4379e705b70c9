//! Checks when a target counts as gone, and what happens to its flows.

use zinniadrift_core::steering::{PauseDetector, ProbeResult, ResetReason, TargetChange, Verdict};

use super::world::{STREAM, World, draining_target, forwarded, reset_reason, target};

/// Guards against flows that hang after their target has drained and left.
#[test]
fn flow_of_removed_target_is_reset_after_refused_probe() {
    let mut w = World::new(1, vec![target(1)]);
    let (to, cookie) = w.establish(1_000, STREAM);
    w.put(draining_target(1));
    w.remove(1);
    assert_eq!(forwarded(w.send(1_000, STREAM, cookie)), to);
    let probes: Vec<_> = w.core.take_probes().map(|p| p.name).collect();
    assert_eq!(probes, [target(1).name]);
    w.core
        .on_probe(w.now, &target(1).name, ProbeResult::Refused);
    let verdict = w.send(1_000, STREAM, cookie);
    assert_eq!(reset_reason(verdict), Some(ResetReason::TargetGone));
}

/// Guards against resets of flows to a draining target that is alive and whose entry expired during
/// an outage of the store.
#[test]
fn lapsed_draining_target_keeps_its_flows() {
    let mut w = World::new(1, vec![target(1)]);
    let (to, cookie) = w.establish(1_000, STREAM);
    w.put(draining_target(1));
    w.advance_without_store(4_500);
    w.list(Vec::new());
    for result in [ProbeResult::Accepted, ProbeResult::TimedOut] {
        w.core.on_probe(w.now, &target(1).name, result);
        assert_eq!(forwarded(w.send(1_000, STREAM, cookie)), to);
    }
    w.advance(1_900);
    w.put(draining_target(1));
    w.advance(5_000);
    assert_eq!(forwarded(w.send(1_000, STREAM, cookie)), to);
}

/// Guards against probing targets to which this balancer has no flows.
#[test]
fn removed_target_without_flows_is_not_probed() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    w.remove(1);
    w.remove(2);
    assert_eq!(w.core.take_probes().count(), 0);
}

/// Guards against resets of flows to live targets whose entries lapsed during an outage of the
/// store.
#[test]
fn lapsed_target_that_returns_keeps_its_flows() {
    let mut w = World::new(1, (1..=4).map(target).collect());
    let (to, cookie) = w.establish(1_000, STREAM);
    w.advance_without_store(4_500);
    // The store returns without the entries; the targets register again within two seconds.
    w.list(Vec::new());
    for _ in 0..20 {
        assert_eq!(forwarded(w.send(1_000, STREAM, cookie)), to);
        w.advance(100);
    }
    w.list((1..=4).map(target).collect());
    w.advance(5_000);
    assert_eq!(forwarded(w.send(1_000, STREAM, cookie)), to);
}

/// Guards against a service that lacks targets in the seconds after an outage of the store, in
/// which entries of live targets expired.
#[test]
fn lapsed_targets_get_new_flows_after_outage() {
    let mut w = World::new(1, (1..=4).map(target).collect());
    w.advance_without_store(4_500);
    w.list(vec![target(4)]);
    let reached: std::collections::HashSet<_> = (1_000..1_100)
        .map(|port| forwarded(w.open(port, STREAM, 0)))
        .collect();
    assert_eq!(reached.len(), 4);
}

/// Guards against placing new flows on a single target that crashed.
#[test]
fn crashed_target_gets_no_new_flow() {
    let mut w = World::new(1, (1..=4).map(target).collect());
    w.remove(1);
    for port in 1_000..1_100 {
        assert_ne!(forwarded(w.open(port, STREAM, 0)), target(1).address);
    }
}

/// Guards against flows that hang on a crashed target until the caller's deadline.
#[test]
fn flow_of_crashed_target_is_reset_after_grace() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    let ports: Vec<u16> = (1_000..1_010).collect();
    let flows: Vec<_> = ports
        .iter()
        .map(|p| (*p, w.establish(*p, STREAM)))
        .collect();
    w.remove(1);
    w.advance(2_000);
    for (port, (to, cookie)) in &flows {
        // The target may be alive: an entry that lapsed in an outage returns within two seconds.
        assert_eq!(forwarded(w.send(*port, STREAM, *cookie)), *to);
    }
    w.advance(2_000);
    for (port, (to, cookie)) in &flows {
        let verdict = w.send(*port, STREAM, *cookie);
        if *to == target(1).address {
            assert_eq!(reset_reason(verdict), Some(ResetReason::TargetGone));
        } else {
            assert_eq!(forwarded(verdict), *to);
        }
    }
}

/// Guards against resets by a balancer that loses the store while an entry is missing.
#[test]
fn no_flow_is_reset_during_store_outage() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    let flows: Vec<_> = (1_000..1_010)
        .map(|p| (p, w.establish(p, STREAM)))
        .collect();
    w.remove(1);
    w.advance_without_store(30_000);
    for (port, (to, cookie)) in flows {
        assert_eq!(forwarded(w.send(port, STREAM, cookie)), to);
    }
}

/// Guards against a target that stays gone after it registered again.
#[test]
fn reregistered_target_keeps_and_gets_flows() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    let flows: Vec<_> = (1_000..1_010)
        .map(|p| (p, w.establish(p, STREAM)))
        .collect();
    w.remove(1);
    w.advance(4_000);
    w.put(target(1));
    for (port, (to, cookie)) in flows {
        assert_eq!(forwarded(w.send(port, STREAM, cookie)), to);
    }
    let reached = (2_000..2_100).map(|p| forwarded(w.open(p, STREAM, 0)));
    assert!(reached.into_iter().any(|to| to == target(1).address));
}

/// Returns a balancer for which target 1 has ended, and another one that knows of its return.
fn returned_target() -> (World, World) {
    let mut w = World::new(1, vec![target(1), target(2)]);
    w.remove(1);
    w.advance(4_000);
    let mut other = World::new(2, vec![target(1)]);
    other.now = w.now;
    (w, other)
}

/// Guards against resets of flows that were opened at a target after its entry had returned, by a
/// balancer that does not know of the return yet (the form of review/3).
#[test]
fn flow_to_returned_target_is_not_reset() {
    let (mut w, mut other) = returned_target();
    let (to, cookie) = other.establish(2_000, STREAM);
    for _ in 0..20 {
        w.advance_without_store(100);
        assert_eq!(forwarded(w.send(2_000, STREAM, cookie)), to);
    }
    w.put(target(1));
    w.advance(5_000);
    assert_eq!(forwarded(w.send(2_000, STREAM, cookie)), to);
}

/// Guards against flows that hang at a target that has ended although no packet of them arrived
/// here before its end.
#[test]
fn unseen_flow_of_ended_target_is_reset_after_confirmation() {
    let (mut w, mut other) = returned_target();
    let (to, cookie) = other.establish(2_000, STREAM);
    assert_eq!(forwarded(w.send(2_000, STREAM, cookie)), to);
    w.advance(3_000);
    let verdict = w.send(2_000, STREAM, cookie);
    assert_eq!(reset_reason(verdict), Some(ResetReason::TargetGone));
}

/// Guards against counting the last packets before the end of a target became certain as older than
/// the state that showed it.
#[test]
fn flow_of_a_return_during_the_grace_is_not_reset() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    w.remove(1);
    w.advance(2_400);
    let mut other = World::new(2, vec![target(1)]);
    other.now = w.now;
    w.advance_clock(110);
    w.confirm();
    w.advance_clock(10);
    // The entry is back, and a flow arrives before the periodic check declares the target gone.
    let (to, cookie) = other.establish(2_000, STREAM);
    assert_eq!(forwarded(w.send(2_000, STREAM, cookie)), to);
    for _ in 0..20 {
        w.advance_without_store(100);
        assert_eq!(forwarded(w.send(2_000, STREAM, cookie)), to);
    }
}

/// Guards against applying observations of a target's former run after its restart.
#[test]
fn restart_clears_observations() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    // Target 1 leaves opening packets unanswered, so that it is avoided.
    let mut unanswered = 0;
    for port in 1_000..1_040 {
        if forwarded(w.open(port, STREAM, 0)) == target(1).address {
            forwarded(w.open(port, STREAM, 1));
            unanswered += 1;
        }
    }
    assert!(unanswered > 0);
    let avoided = (2_000..2_050).all(|p| forwarded(w.open(p, STREAM, 0)) == target(2).address);
    assert!(avoided);
    let mut restarted = target(1);
    restarted.started_at_ms = Some(1_700_000_000_000);
    w.put(restarted);
    let reached = (3_000..3_100).map(|p| forwarded(w.open(p, STREAM, 0)));
    assert!(reached.into_iter().any(|to| to == target(1).address));
}

/// Guards against deleting an ended target while callers of its flows still need a reset.
#[test]
fn ended_target_is_kept_for_the_flow_lifetime() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    let flows: Vec<_> = (1_000..1_010)
        .map(|p| (p, w.establish(p, STREAM)))
        .collect();
    w.remove(1);
    w.advance(50_000);
    for (port, (to, cookie)) in flows {
        let verdict = w.send(port, STREAM, cookie);
        let expected = (to == target(1).address).then_some(ResetReason::TargetGone);
        assert_eq!(reset_reason(verdict), expected);
    }
}

/// Guards against resets on the basis of state that became outdated while the process was paused.
#[test]
fn paused_process_resets_no_flow_before_confirmation() {
    let mut w = World::new(1, vec![target(1)]);
    let mut other = World::new(2, vec![target(2)]);
    let (_, cookie) = other.establish(1_000, STREAM);
    assert!(matches!(w.send(1_000, STREAM, cookie), Verdict::Drop(_)));
    w.advance_clock(4_000);
    w.core.on_pause(w.now);
    w.core.tick(w.now);
    assert!(matches!(w.send(1_000, STREAM, cookie), Verdict::Drop(_)));
    let unknown_route = w.open(1_000, "198.18.0.9:1", 0);
    assert!(matches!(unknown_route, Verdict::Drop(_)));
}

/// Guards against overwriting state with that of an older revision.
#[test]
fn older_store_responses_are_ignored() {
    let mut w = World::new(1, vec![target(1)]);
    w.put(target(2));
    let removed = TargetChange::Removed(target(2).name);
    w.core
        .on_changes(w.now, Some(w.now), vec![removed], 1.into());
    let listing = zinniadrift_core::steering::DirectoryListing {
        as_of: 1.into(),
        targets: Vec::new(),
    };
    w.core.on_listing(w.now, Some(w.now), listing);
    assert_eq!(w.core.directory().listed_count(), 2);
}

/// Guards against confusing a stopped process, a suspended host and a long iteration.
#[test]
fn pauses_are_detected_on_both_clocks() {
    let at = zinniadrift_core::units::MonoTime::from_millis;
    let ms = std::time::Duration::from_millis;
    let mut detector = PauseDetector::new(at(0), ms(70));
    assert_eq!(detector.begin_iteration(at(500), ms(70)), None);
    // The host was suspended: the monotonic clock does not include that time.
    assert_eq!(
        detector.begin_iteration(at(600), ms(5_070)),
        Some(ms(5_100))
    );
    assert_eq!(detector.begin_iteration(at(1_100), ms(5_070)), None);
    // The process was stopped.
    assert_eq!(
        detector.begin_iteration(at(5_100), ms(5_070)),
        Some(ms(4_000))
    );
    // The iteration itself took long.
    detector.end_iteration(at(8_000));
    assert_eq!(detector.begin_iteration(at(8_400), ms(5_070)), None);
    // The two clocks are read one after the other, so the suspended time varies slightly.
    assert_eq!(detector.begin_iteration(at(8_900), ms(5_071)), None);
}
