//! Checks that balancers that request updates from a relay end with the relay's state.

use proptest::prelude::*;
use std::time::Duration;

use zinniadrift_core::steering::{
    DirectoryListing, DirectoryUpdate, KnownState, PeerUpdate, RouteKind, TargetInstance,
};

use super::world::{STREAM, World, draining_target, route, standard_routes, target};

fn sorted(mut listing: DirectoryListing) -> Vec<TargetInstance> {
    listing.targets.sort_by(|a, b| a.name.cmp(&b.name));
    listing.targets
}

fn request_update(relay: &World, requester: &mut World) -> PeerUpdate {
    let update = relay
        .core
        .update_for(relay.now, requester.core.known_state())
        .unwrap();
    requester.apply_peer_update(update.clone());
    update
}

fn assert_equal(relay: &World, requester: &World) {
    let (a, b) = (relay.core.directory(), requester.core.directory());
    assert_eq!(sorted(a.listing()), sorted(b.listing()));
    let (a, b) = (relay.core.routes(), requester.core.routes());
    assert_eq!(a.version(), b.version());
    assert_eq!(a.len(), b.len());
    assert!(a.iter().all(|r| b.get(r.address) == Some(r)));
}

/// Guards against relays that send their full state for each change.
#[test]
fn relay_sends_only_missing_changes() {
    let mut relay = World::new(1, (1..=50).map(target).collect());
    let mut requester = World::empty(2);
    let first = request_update(&relay, &mut requester);
    assert!(matches!(first.targets, DirectoryUpdate::Listing(_)));
    relay.put(target(51));
    relay.remove(3);
    let mut routes = standard_routes();
    routes.push(route("198.18.0.9:1", RouteKind::Upload));
    relay.configure(2, routes);
    let second = request_update(&relay, &mut requester);
    assert!(matches!(&second.targets, DirectoryUpdate::Changes(c) if c.len() == 2));
    assert_eq!(second.routes.map(|r| r.put.len()), Some(1));
    assert_equal(&relay, &requester);
    let third = request_update(&relay, &mut requester);
    assert_eq!(third.targets, DirectoryUpdate::Changes(Vec::new()));
    assert_eq!(third.routes, None);
}

/// Guards against a relay that reports its state as confirmed more recently than it was.
#[test]
fn update_carries_age_of_confirmation() {
    let mut relay = World::new(1, vec![target(1)]);
    let mut requester = World::empty(2);
    relay.advance_clock(4_000);
    requester.now = relay.now;
    let update = request_update(&relay, &mut requester);
    assert_eq!(update.directory_age, Duration::from_secs(4));
    let age = requester.core.directory_sync().age(requester.now);
    assert_eq!(age, Some(Duration::from_secs(4)));
    let age = requester.core.routes_sync().age(requester.now);
    assert_eq!(age, Some(Duration::from_secs(4)));
}

/// Guards against a relay that sends updates before it has any state.
#[test]
fn relay_without_state_sends_no_update() {
    let relay = World::empty(1);
    assert_eq!(
        relay.core.update_for(relay.now, KnownState::default()),
        None
    );
}

/// Guards against a relay's older state that overwrites newer state from the store.
#[test]
fn update_of_older_relay_is_ignored() {
    let mut relay = World::new(1, vec![target(1)]);
    let mut requester = World::new(2, vec![target(1)]);
    requester.put(target(2));
    requester.configure(5, vec![route(STREAM, RouteKind::Idempotent)]);
    let _ = request_update(&relay, &mut requester);
    assert_eq!(requester.core.directory().listed_count(), 2);
    assert_eq!(requester.core.routes().version(), 5.into());
    relay.advance_clock(1);
}

/// Guards against a frozen balancer that takes an old response for a current one: the response lay
/// in the socket's buffer during the pause, which its age does not include.
#[test]
fn response_requested_before_a_pause_confirms_nothing() {
    let relay = World::new(1, vec![target(1)]);
    let mut requester = World::new(2, vec![target(1)]);
    let before = requester.core.pause_count();
    let update = relay
        .core
        .update_for(relay.now, requester.core.known_state())
        .unwrap();
    requester.advance_clock(4_000);
    requester.core.on_pause(requester.now);
    assert_eq!(requester.core.last_confirmed(), None);
    requester
        .core
        .on_peer_update(requester.now, before, update.clone());
    assert_eq!(requester.core.last_confirmed(), None);
    assert_eq!(
        requester.core.confirmation_time(requester.now, before),
        None
    );
    let as_of = requester.core.directory().as_of();
    requester
        .core
        .on_changes(requester.now, None, Vec::new(), as_of);
    assert_eq!(requester.core.directory_sync().age(requester.now), None);
    requester.apply_peer_update(update);
    assert_eq!(requester.core.last_confirmed(), Some(requester.now));
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8),
    Drain(u8),
    Remove(u8),
    List(Vec<u8>),
    Configure(Vec<u8>),
    Confirm,
    RequestUpdate(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        4 => (1_u8..40).prop_map(Step::Put),
        2 => (1_u8..40).prop_map(Step::Drain),
        3 => (1_u8..40).prop_map(Step::Remove),
        1 => prop::collection::vec(1_u8..40, 0..20).prop_map(Step::List),
        2 => prop::collection::vec(1_u8..30, 0..10).prop_map(Step::Configure),
        1 => Just(Step::Confirm),
        4 => (0_usize..3).prop_map(Step::RequestUpdate),
    ];
    prop::collection::vec(one, 1..700)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against changes that are lost, duplicated or reordered by relays.
    #[test]
    fn balancers_converge_to_the_relays_state(steps in steps()) {
        let mut relay = World::new(1, vec![target(1)]);
        let mut requesters: Vec<World> = (2..5).map(World::empty).collect();
        let mut version = 1;
        for step in steps {
            relay.advance_clock(10);
            match step {
                Step::Put(n) => relay.put(target(n)),
                Step::Drain(n) => relay.put(draining_target(n)),
                Step::Remove(n) => relay.remove(n),
                Step::List(mut list) => {
                    list.sort_unstable();
                    list.dedup();
                    relay.list(list.into_iter().map(target).collect());
                }
                Step::Configure(list) => {
                    version += 3;
                    let at = |n: &u8| format!("198.18.0.{n}:443");
                    let routes = list.iter().map(|n| route(&at(n), RouteKind::Idempotent));
                    relay.configure(version, routes.collect());
                }
                Step::Confirm => relay.confirm(),
                Step::RequestUpdate(i) => {
                    requesters[i].now = relay.now;
                    let _ = request_update(&relay, &mut requesters[i]);
                    assert_equal(&relay, &requesters[i]);
                }
            }
        }
        for w in &mut requesters {
            w.now = relay.now;
            let _ = request_update(&relay, w);
            assert_equal(&relay, w);
        }
    }
}
