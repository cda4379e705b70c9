//! Checks what is believed after the store came back from an older copy: revisions go back, targets
//! and configurations of the last seconds are missing, and removed targets are listed again.

use std::time::Duration;

use zinniadrift_core::steering::{
    Decision, DirectoryListing, Era, InstanceState, ListExtent, Position, ResetReason, RouteKind,
    StoreCallError, StoreNeed, StoreStep, TargetChange, TargetInstance, Verdict, WatchLoop,
    WatchSettings,
};
use zinniadrift_core::units::MonoTime;

use super::world::{
    CERTIFICATE, STREAM, World, draining_target, forwarded, reset_reason, route, standard_routes,
    table, target,
};

const NEW_ROUTE: &str = "198.18.0.9:443";

/// Returns the position of a revision after the store's first return.
fn returned(revision: u64) -> Position {
    Position::new(1.into(), revision.into())
}

/// Lets the store come back with a copy that lists `targets`.
fn come_back(w: &mut World, revision: u64, targets: Vec<TargetInstance>) {
    let as_of = returned(revision);
    let listing = DirectoryListing { as_of, targets };
    w.core.on_listing(w.now, Some(w.now), listing);
}

/// Confirms the state in the new era during the given time; maintenance runs meanwhile.
fn pass_time(w: &mut World, ms: u64, mut revision: u64) -> u64 {
    for _ in 0..ms / 100 {
        w.advance_clock(100);
        revision += 1;
        let as_of = returned(revision);
        w.core.on_changes(w.now, Some(w.now), Vec::new(), as_of);
        w.core.confirm_routes(w.now, as_of);
        w.core.tick(w.now);
    }
    revision
}

/// Returns the targets that get new flows.
fn chosen(w: &mut World, ports: std::ops::Range<u16>) -> Vec<String> {
    let to = ports.map(|port| forwarded(w.open(port, CERTIFICATE, 0)).to_string());
    let mut to: Vec<String> = to.collect();
    to.sort();
    to.dedup();
    to
}

/// Guards against a directory that ignores the store for good because its revisions went back.
#[test]
fn lower_revisions_of_a_later_era_are_applied() {
    let mut w = World::new(1, vec![target(1)]);
    for _ in 0..100 {
        w.confirm();
    }
    come_back(&mut w, 3, vec![target(1), target(2)]);
    assert_eq!(w.core.directory().as_of(), returned(3));
    assert_eq!(w.core.directory().listed_count(), 2);
    assert_eq!(w.core.era(), Era::from(1));
    let decisions: Vec<Decision> = w.core.take_decisions().collect();
    assert!(
        decisions
            .iter()
            .any(|d| matches!(d, Decision::StoreReturned { era, .. } if *era == 1.into())),
        "{decisions:?}"
    );
    // An answer from before the return changes nothing.
    w.list(vec![target(7)]);
    assert_eq!(w.core.directory().as_of(), returned(3));
}

/// Guards against resets of flows whose target the copy lacks because it had registered in the lost
/// seconds.
#[test]
fn target_missing_from_the_copy_keeps_its_flows() {
    let mut w = World::new(1, vec![target(1)]);
    w.put(target(2));
    let flow = |w: &mut World| loop {
        let port = 1_000 + u16::try_from(w.now.as_micros() % 50_000).unwrap();
        let (to, cookie) = w.establish(port, STREAM);
        if to == target(2).address {
            return (port, cookie);
        }
        w.advance_clock(1);
    };
    let (port, cookie) = flow(&mut w);
    come_back(&mut w, 1, vec![target(1)]);
    let revision = pass_time(&mut w, 1_900, 1);
    assert_eq!(forwarded(w.send(port, STREAM, cookie)), target(2).address);
    let back = vec![TargetChange::Put(target(2))];
    w.core
        .on_changes(w.now, Some(w.now), back, returned(revision + 1));
    pass_time(&mut w, 6_000, revision + 1);
    assert_eq!(forwarded(w.send(port, STREAM, cookie)), target(2).address);
    assert_eq!(w.core.directory().listed_count(), 2);
}

/// Guards against new flows to a target that had left and that the copy lists again.
#[test]
fn removed_target_gets_no_new_flow() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    w.remove(2);
    w.advance(10_000);
    come_back(&mut w, 1, vec![target(1), target(2)]);
    assert_eq!(w.core.directory().doubtful_count(), 1);
    assert_eq!(chosen(&mut w, 1..40), [target(1).address.to_string()]);
    // Nor does a peer that never knew the target send it any.
    let mut newcomer = World::empty(2);
    newcomer.now = w.now;
    newcomer.configure(1, standard_routes());
    let update = w.core.update_for(w.now, newcomer.core.known_state());
    newcomer.apply_peer_update(update.unwrap());
    assert_eq!(
        chosen(&mut newcomer, 1..40),
        [target(1).address.to_string()]
    );
    // The store removes the entry of a target that does not write.
    let gone = vec![TargetChange::Removed(target(2).name)];
    w.core.on_changes(w.now, Some(w.now), gone, returned(2));
    assert_eq!(w.core.directory().doubtful_count(), 0);
    assert_eq!(w.core.directory().listed_count(), 1);
}

/// Guards against trust in a removed target on the ground of a peer's state from before its entry
/// could be removed again.
#[test]
fn old_confirmation_ends_no_doubt() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    w.remove(2);
    w.advance(1_000);
    come_back(&mut w, 1, vec![target(1), target(2)]);
    let read_at = w.now;
    w.advance_clock(6_000);
    w.core
        .on_changes(w.now, Some(read_at), Vec::new(), returned(2));
    assert_eq!(w.core.directory().doubtful_count(), 1);
    w.core
        .on_changes(w.now, Some(w.now), Vec::new(), returned(3));
    assert_eq!(w.core.directory().doubtful_count(), 0);
}

/// Guards against a living target that gets no new flow for good because its removal was lost and
/// its entry did not change since.
#[test]
fn target_that_writes_again_gets_new_flows() {
    let mut w = World::new(1, vec![target(1), target(2)]);
    w.remove(2);
    w.advance(1_000);
    come_back(&mut w, 1, vec![target(1), target(2)]);
    pass_time(&mut w, 5_500, 1);
    assert_eq!(w.core.directory().doubtful_count(), 0);
    assert_eq!(chosen(&mut w, 1..60).len(), 2);
    // A changed entry was written after the return, so it counts at once.
    w.remove(2);
    let mut w = World::new(1, vec![target(1), target(2)]);
    w.remove(2);
    w.advance(1_000);
    come_back(&mut w, 1, vec![target(1), target(2)]);
    let put = vec![TargetChange::Put(target(2))];
    w.core.on_changes(w.now, Some(w.now), put, returned(2));
    assert_eq!(chosen(&mut w, 1..60).len(), 2);
}

/// Guards against new flows to a draining target that the copy shows as ready; another incarnation
/// under the same name takes new flows.
#[test]
fn draining_target_stays_draining() {
    let mut w = World::new(1, vec![target(1), draining_target(2)]);
    come_back(&mut w, 1, vec![target(1), target(2)]);
    assert_eq!(chosen(&mut w, 1..40), [target(1).address.to_string()]);
    let reborn = TargetInstance {
        started_at_ms: Some(7),
        ..target(2)
    };
    assert_eq!(reborn.state, InstanceState::Ready);
    come_back_again(&mut w, vec![target(1), reborn]);
    assert_eq!(chosen(&mut w, 40..100).len(), 2);
}

/// Guards against new flows to an earlier instance that only the copy has: its target had started
/// again in the lost seconds (found by `store_model` at five steps).
#[test]
fn earlier_instance_of_the_copy_is_not_used() {
    let run = |started: u64, slots: u16| TargetInstance {
        started_at_ms: Some(started),
        slots,
        ..target(1)
    };
    let mut w = World::new(1, vec![run(5, 2)]);
    w.put(run(9, 4));
    come_back(&mut w, 1, vec![run(5, 2)]);
    assert_eq!(w.core.directory().listing().targets, [run(9, 4)]);
}

fn come_back_again(w: &mut World, targets: Vec<TargetInstance>) {
    let as_of = Position::new(2.into(), 1.into());
    let listing = DirectoryListing { as_of, targets };
    w.core.on_listing(w.now, Some(w.now), listing);
}

/// Guards against a configuration that goes back, and against refusing callers on the ground of a
/// copy that lacks what the operator is about to write again.
#[test]
fn configuration_does_not_go_back() {
    let mut w = World::new(1, vec![target(1)]);
    let mut routes = standard_routes();
    routes.push(route(NEW_ROUTE, RouteKind::Idempotent));
    w.configure(9, routes.clone());
    let old = table(4, standard_routes());
    w.core.on_routes(w.now, Some(w.now), returned(2), old);
    assert_eq!(w.core.routes().version(), 9.into());
    assert_eq!(w.core.known_state().routes, returned(2));
    let _ = forwarded(w.open(1, NEW_ROUTE, 0));
    // An unknown route may be one that the operator had just added.
    come_back(&mut w, 3, vec![target(1)]);
    let again = table(9, routes);
    w.core.on_routes(w.now, Some(w.now), returned(4), again);
    let verdict = w.open(2, "198.18.0.77:443", 0);
    assert!(matches!(verdict, Verdict::Drop(_)), "{verdict:?}");
    pass_time(&mut w, 4_500, 4);
    let verdict = w.open(3, "198.18.0.77:443", 0);
    assert_eq!(reset_reason(verdict), Some(ResetReason::NoRoute));
}

/// Guards against a balancer that does not learn of the return from a peer, and against a peer in an
/// earlier era that takes it back.
#[test]
fn eras_pass_between_peers() {
    let mut relay = World::new(1, (1..=20).map(target).collect());
    let mut child = World::empty(2);
    child.now = relay.now;
    for _ in 0..50 {
        relay.confirm();
    }
    let request = |from: &World, to: &mut World| {
        let update = from.core.update_for(from.now, to.core.known_state());
        to.apply_peer_update(update.unwrap());
    };
    request(&relay, &mut child);
    relay.remove(3);
    request(&relay, &mut child);
    come_back(&mut relay, 4, (1..=19).map(target).collect());
    let routes = table(1, standard_routes());
    relay
        .core
        .on_routes(relay.now, Some(relay.now), returned(4), routes);
    request(&relay, &mut child);
    assert_eq!(child.core.directory().as_of(), returned(4));
    assert_eq!(child.core.directory().doubtful_count(), 1);
    assert_eq!(child.core.directory().listed_count(), 19);
    let mut old = World::new(3, vec![target(1)]);
    for _ in 0..200 {
        old.confirm();
    }
    old.now = child.now;
    request(&old, &mut child);
    assert_eq!(child.core.directory().as_of(), returned(4));
    assert_eq!(child.core.directory().listed_count(), 19);
}

fn watching(revision: u64) -> WatchLoop {
    let mut watch = WatchLoop::new(WatchSettings::default());
    watch.on_response(MonoTime::from_millis(0), revision.into(), false);
    watch
}

/// Guards against a watch in the new era from a revision of the old one, whose answer is silently
/// wrong, and against lists without a pause.
#[test]
fn return_is_followed_by_one_list() {
    let now = MonoTime::from_millis(10);
    let mut watch = watching(70);
    watch.on_failure(now, StoreCallError::Returned);
    let step = watch.next_step(now, StoreNeed::Relay, 71.into());
    assert_eq!(
        step,
        StoreStep::List {
            stale: false,
            extent: ListExtent::All
        }
    );
    watch.on_response(now, returned(40), true);
    let later = now + Duration::from_secs(1);
    let step = watch.next_step(later, StoreNeed::Relay, 71.into());
    assert!(
        matches!(step, StoreStep::Watch { from, .. } if from == returned(40)),
        "{step:?}"
    );
    watch.on_failure(later, StoreCallError::Returned);
    let step = watch.next_step(later, StoreNeed::Relay, 71.into());
    assert!(matches!(step, StoreStep::WaitUntil(_)), "{step:?}");
}

macro_rules! positions {
    ($($name:ident: $text:expr => $position:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let position: Option<Position> = $position;
                assert_eq!($text.parse::<Position>().ok(), position);
                if let Some(position) = position {
                    assert_eq!(position.to_string(), $text);
                    let json = serde_json::to_string(&position).unwrap();
                    assert_eq!(serde_json::from_str::<Position>(&json).unwrap(), position);
                }
            }
        )*
    };
}

positions! {
    revision_of_the_first_era: "17" => Some(17.into());
    revision_of_a_later_era: "3/17" => Some(Position::new(3.into(), 17.into()));
    position_without_revision: "3/" => None;
    position_without_era: "/17" => None;
    negative_revision: "-1" => None;
}
