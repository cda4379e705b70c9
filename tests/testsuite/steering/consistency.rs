//! Checks that the directory matches the store's state, whichever peers provided the updates.

use std::collections::BTreeMap;

use proptest::prelude::*;

use zinniadrift_core::steering::{
    DirectoryListing, DirectoryUpdate, PeerUpdate, Position, TargetChange, TargetInstance,
};

use super::world::{World, draining_target, target};

/// The store's list of targets with its history.
#[derive(Default)]
struct Store {
    revision: u64,
    history: Vec<(u64, TargetChange)>,
}

impl Store {
    fn change(&mut self, change: TargetChange) {
        self.revision += 1;
        self.history.push((self.revision, change));
    }

    fn put(&mut self, instance: TargetInstance) {
        self.change(TargetChange::Put(instance));
    }

    fn remove(&mut self, n: u8) {
        self.change(TargetChange::Removed(target(n).name));
    }

    /// Returns the targets at `revision`, by name.
    fn at(&self, revision: Position) -> BTreeMap<Box<str>, TargetInstance> {
        let mut state = BTreeMap::new();
        for (at, change) in &self.history {
            if Position::from(*at) > revision {
                break;
            }
            match change {
                TargetChange::Put(t) => {
                    state.insert(t.name.clone(), t.clone());
                }
                TargetChange::Removed(name) => {
                    state.remove(name);
                }
            }
        }
        state
    }

    fn list(&self, balancer: &mut World) {
        let listing = self.listing(self.revision);
        balancer
            .core
            .on_listing(balancer.now, Some(balancer.now), listing);
    }

    fn listing(&self, revision: u64) -> DirectoryListing {
        let as_of = Position::from(revision);
        let targets = self.at(as_of).into_values().collect();
        DirectoryListing { as_of, targets }
    }

    /// Sends a balancer a list that is `lag` revisions old and confirms nothing.
    fn list_stale(&self, balancer: &mut World, lag: u64) {
        let listing = self.listing(self.revision.saturating_sub(lag));
        balancer.core.on_listing(balancer.now, None, listing);
    }

    /// Sends a balancer the changes since the revision that it knows.
    fn watch(&self, balancer: &mut World) {
        let from = balancer.core.known_state().targets;
        self.respond_to_watch(balancer, from);
    }

    /// Responds to a watch that began when the balancer knew `from`.
    fn respond_to_watch(&self, balancer: &mut World, from: Position) {
        let newer = self.history.iter();
        let newer = newer.filter(|(at, _)| Position::from(*at) > from);
        let changes = newer.map(|(_, change)| change.clone()).collect();
        let as_of = Position::from(self.revision);
        balancer
            .core
            .on_changes(balancer.now, Some(balancer.now), changes, as_of);
    }

    fn assert_matches(&self, balancer: &World) {
        let known = balancer.core.known_state().targets;
        let listed = balancer.core.directory().listing().targets;
        let listed: BTreeMap<_, _> = listed.into_iter().map(|t| (t.name.clone(), t)).collect();
        assert_eq!(listed, self.at(known), "at revision {known}");
    }
}

fn request_update(requester: &mut World, peer: &World) {
    if let Some(update) = peer.core.update_for(peer.now, requester.core.known_state()) {
        requester.apply_peer_update(update);
    }
}

fn balancer(seed: u64) -> World {
    let mut w = World::empty(seed);
    // A balancer provides no updates before it has a configuration.
    w.configure(1, Vec::new());
    w
}

/// Guards against a peer whose updates omit changes that were reverted while it was isolated. A
/// balancer with a state in between then counted live targets as gone and reset their flows (170
/// violations of rule FLOW in run vsn-ruf-grown fresh-c510 of journal c5103277).
#[test]
fn isolated_peer_includes_reverted_changes() {
    let mut store = Store::default();
    store.put(target(1));
    let (mut isolated, mut other, mut requester) = (balancer(1), balancer(2), balancer(3));
    for w in [&mut isolated, &mut other, &mut requester] {
        store.list(w);
    }
    store.remove(1);
    store.watch(&mut requester);
    store.put(target(1));
    store.watch(&mut other);
    request_update(&mut isolated, &other);
    request_update(&mut requester, &isolated);
    store.assert_matches(&requester);
    // The peer gets the net change from a list of the store instead of from another peer.
    store.remove(1);
    store.watch(&mut requester);
    store.put(target(1));
    store.list(&mut isolated);
    request_update(&mut requester, &isolated);
    store.assert_matches(&requester);
}

/// Guards against applying a peer's update to a newer state than the one it was made for: it may
/// omit changes that were reverted in the meantime (found by the property test below).
#[test]
fn update_for_older_state_is_not_applied() {
    let mut store = Store::default();
    store.put(target(1));
    let (mut isolated, mut requester) = (balancer(1), balancer(2));
    store.list(&mut isolated);
    store.list(&mut requester);
    let base = requester.core.known_state();
    store.remove(1);
    store.watch(&mut requester);
    store.put(target(1));
    store.list(&mut isolated);
    let update = isolated.core.update_for(isolated.now, base).unwrap();
    requester.apply_peer_update(update);
    store.assert_matches(&requester);
    request_update(&mut requester, &isolated);
    store.assert_matches(&requester);
    assert_eq!(requester.core.known_state(), isolated.core.known_state());
}

/// Guards against sending the full list to every balancer that changes its peer.
#[test]
fn store_changes_suffice_for_any_state() {
    let mut store = Store::default();
    store.put(target(1));
    let (mut relay, mut requester) = (balancer(1), balancer(2));
    store.list(&mut relay);
    store.list(&mut requester);
    store.remove(1);
    store.watch(&mut requester);
    store.put(target(1));
    store.watch(&mut relay);
    let update = relay
        .core
        .update_for(relay.now, requester.core.known_state());
    let targets = update.unwrap().targets;
    assert!(
        matches!(&targets, DirectoryUpdate::Changes(c) if c.len() == 2),
        "{targets:?}"
    );
}

/// Returns the update that balancer `j` sends to balancer `i`.
fn update_from(balancers: &[World], i: usize, j: usize) -> Option<PeerUpdate> {
    let known = balancers[i].core.known_state();
    let peer = balancers.get(j).filter(|_| i != j)?;
    peer.core.update_for(peer.now, known)
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8),
    Drain(u8),
    Remove(u8),
    OtherWrite,
    List(usize),
    ListStale(usize, u64),
    Watch(usize),
    BeginWatch(usize),
    EndWatch(usize),
    RequestUpdate(usize, usize),
    BeginRequest(usize, usize),
    EndRequest(usize),
}

const BALANCERS: usize = 5;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let n = || 1_u8..5;
    let b = || 0..BALANCERS;
    let one = prop_oneof![
        4 => n().prop_map(Step::Put),
        2 => n().prop_map(Step::Drain),
        4 => n().prop_map(Step::Remove),
        1 => Just(Step::OtherWrite),
        1 => b().prop_map(Step::List),
        3 => b().prop_map(Step::Watch),
        1 => (b(), 0_u64..6).prop_map(|(i, lag)| Step::ListStale(i, lag)),
        2 => b().prop_map(Step::BeginWatch),
        2 => b().prop_map(Step::EndWatch),
        8 => (b(), b()).prop_map(|(i, j)| Step::RequestUpdate(i, j)),
        4 => (b(), b()).prop_map(|(i, j)| Step::BeginRequest(i, j)),
        4 => b().prop_map(Step::EndRequest),
    ];
    prop::collection::vec(one, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against a directory that differs from the store's state at the same revision, for any
    /// sequence of lists, watches and peer updates.
    #[test]
    fn directory_matches_store_at_its_revision(steps in steps()) {
        let mut store = Store::default();
        let mut balancers: Vec<World> = (1..).map(balancer).take(BALANCERS).collect();
        // Calls whose responses are in flight, at most one of each kind per balancer.
        let mut watches: Vec<Option<Position>> = vec![None; BALANCERS];
        let mut responses: Vec<Option<PeerUpdate>> = vec![None; BALANCERS];
        for step in steps {
            match step {
                Step::Put(n) => store.put(target(n)),
                Step::Drain(n) => store.put(draining_target(n)),
                Step::Remove(n) => store.remove(n),
                Step::OtherWrite => store.revision += 1,
                Step::List(i) => store.list(&mut balancers[i]),
                Step::ListStale(i, lag) => store.list_stale(&mut balancers[i], lag),
                Step::Watch(i) => store.watch(&mut balancers[i]),
                Step::BeginWatch(i) => watches[i] = Some(balancers[i].core.known_state().targets),
                Step::EndWatch(i) => {
                    if let Some(from) = watches[i].take() {
                        store.respond_to_watch(&mut balancers[i], from);
                    }
                }
                Step::RequestUpdate(i, j) => {
                    if let Some(update) = update_from(&balancers, i, j) {
                        let requester = &mut balancers[i];
                        requester.apply_peer_update(update);
                    }
                }
                Step::BeginRequest(i, j) => responses[i] = update_from(&balancers, i, j),
                Step::EndRequest(i) => {
                    if let Some(update) = responses[i].take() {
                        let requester = &mut balancers[i];
                        requester.apply_peer_update(update);
                    }
                }
            }
            for w in &balancers {
                store.assert_matches(w);
            }
        }
    }
}
