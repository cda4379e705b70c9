//! Checks that flows keep their target, and that they break without each of the mechanisms.

use std::time::Duration;

use zinniadrift_core::balancer::Mechanisms;

use crate::flows_world::{TargetSpec, World};

const ON: Mechanisms = Mechanisms {
    publish_before_use: true,
    wait_for_acks: true,
    relay_when_unsynchronised: true,
    rebase_barrier: true,
    pause_detection: true,
    handover: true,
    version_check: true,
};

/// Declares a scenario that keeps all flows, and the mechanism without which it breaks some.
macro_rules! guards {
    ($($name:ident: $scenario:ident needs $switch:ident;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in 1..=5 {
                    let broken = $scenario(seed, ON);
                    assert_eq!(broken, 0, "seed {seed}, all mechanisms on");
                }
                let off = Mechanisms { $switch: false, ..ON };
                let broken: usize = (1..=5).map(|seed| $scenario(seed, off)).sum();
                assert!(broken > 0, "seeds 1 to 5: no failure without {}", stringify!($switch));
            }
        )*
    };
}

guards! {
    exception_unknown_to_peers: drain_then_open needs publish_before_use;
    exception_used_before_peers_know_it: open_under_loss needs wait_for_acks;
    joiner_without_pins: join_after_drain needs relay_when_unsynchronised;
    base_changed_unevenly: uneven_add needs rebase_barrier;
    stale_after_pause: pause_during_drain needs pause_detection;
    flows_known_to_leaver_only: leave_before_add needs handover;
    older_settings_accepted: stale_settings needs version_check;
}

/// Probes all flows through all running members and returns the broken ones.
fn broken(w: &mut World) -> usize {
    let members = w.running();
    let tallies = members.into_iter().map(|m| w.probe(m));
    tallies.map(|t| t.broken + t.wrong_service).sum()
}

fn drain(w: &mut World, target: &str) {
    w.set_target("gradebook", target, Some(TargetSpec::DRAINING));
    w.edit_all(Duration::ZERO);
}

/// A flow that is opened after a drain goes to another target than the base table's.
fn drain_then_open(seed: u64, mechanisms: Mechanisms) -> usize {
    let mut w = World::settled(seed, mechanisms, 4);
    drain(&mut w, "t0");
    w.advance(10);
    w.open("gradebook", 100, 0);
    w.advance(100);
    broken(&mut w)
}

/// The packet after the SYN reaches another member while the publication is on its way there.
fn open_under_loss(seed: u64, mechanisms: Mechanisms) -> usize {
    let mut w = World::settled(seed, mechanisms, 4);
    drain(&mut w, "t0");
    w.advance(10);
    w.group.network.loss = 0.2;
    let mut broken = 0;
    for _ in 0..50 {
        let flows = w.open("gradebook", 2, 0);
        for _ in 0..30 {
            w.advance(1);
            let open: Vec<_> = flows.iter().filter(|f| w.flows.contains_key(f)).collect();
            if open.len() == flows.len() {
                break;
            }
        }
        let tally = w.probe_flows(&flows, 1);
        broken += tally.broken;
    }
    broken
}

/// A member that has just joined receives packets of flows that it has no pins for.
fn join_after_drain(seed: u64, mechanisms: Mechanisms) -> usize {
    let mut w = World::settled(seed, mechanisms, 4);
    drain(&mut w, "t0");
    w.advance(10);
    w.open("gradebook", 100, 0);
    w.advance(100);
    let joined = w.join("m9", "bern");
    let catalog = w.catalog(2);
    w.group.deliver_settings(joined, &catalog, Duration::ZERO);
    w.advance(0);
    // Heartbeats of the others arrive, the snapshot does not.
    w.advance(1);
    let early = w.probe(joined);
    w.advance(5_000);
    early.broken + broken(&mut w)
}

/// Members learn of a new target up to 5 s apart while flows are opened everywhere.
fn uneven_add(seed: u64, mechanisms: Mechanisms) -> usize {
    let mut w = World::settled(seed, mechanisms, 4);
    w.open("gradebook", 200, 0);
    w.open("corevault", 100, 1);
    w.set_target("gradebook", "t9", Some(TargetSpec::ACTIVE));
    w.edit_all(Duration::from_millis(1_600));
    let mut sum = 0;
    for round in 0..10 {
        w.open("gradebook", 10, round % 4);
        w.advance(500);
        sum += broken(&mut w);
    }
    sum
}

/// A member resumes after the others published exceptions without it.
fn pause_during_drain(seed: u64, mechanisms: Mechanisms) -> usize {
    let mut w = World::settled(seed, mechanisms, 4);
    w.group.pause(3);
    w.advance(100);
    drain(&mut w, "t0");
    w.advance(4_000);
    // The paused member's socket buffer overflows, so publications are lost for it.
    w.open("gradebook", 1_500, 0);
    w.advance(100);
    w.group.resume(3);
    let tally = w.probe(3);
    tally.broken
}

/// Only a member that leaves knows some flows, and a later edit moves their buckets.
fn leave_before_add(seed: u64, mechanisms: Mechanisms) -> usize {
    let mut w = World::settled(seed, mechanisms, 4);
    w.open("gradebook", 300, 3);
    w.group.leave(3);
    w.advance(8_000);
    w.set_target("gradebook", "t9", Some(TargetSpec::ACTIVE));
    w.edit_all(Duration::ZERO);
    w.advance(60_000);
    broken(&mut w)
}

/// A platform store that returns an older state makes a drained target accept flows again.
fn stale_settings(seed: u64, mechanisms: Mechanisms) -> usize {
    let mut w = World::settled(seed, mechanisms, 4);
    let old = w.catalog(1);
    drain(&mut w, "t0");
    w.advance(20_000);
    let before = w.flows_of("gradebook", "t0").len();
    for member in 0..4 {
        w.group.deliver_settings(member, &old, Duration::ZERO);
    }
    w.advance(10);
    w.open("gradebook", 100, 0);
    w.advance(100);
    w.flows_of("gradebook", "t0").len() - before
}
