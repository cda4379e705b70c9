//! Explores every sequence of a bounded number of steps of a small system: a store with history that
//! may come back from an older copy, two relays and a balancer behind them, two targets, answers
//! that arrive late and restarts.
//!
//! `ZINNIADRIFT_MODEL_DEPTH` sets another number of steps.

use std::collections::{BTreeMap, BTreeSet};

use zinniadrift_core::steering::{
    DirectoryListing, InstanceState, Position, TargetChange, TargetInstance, Verdict,
};

use super::world::{CERTIFICATE, World, standard_routes, table, target};

/// The number of steps of each sequence.
const DEFAULT_DEPTH: usize = 4;

/// A run of a target: its number and its start time.
type Incarnation = (u8, u64);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// A target registers as draining, or ends if it drains already; an ended one starts again.
    ChangeTarget(u8),
    /// A target ends without draining.
    EndTarget(u8),
    /// The store removes the entry of a target that may live, as in an outage.
    Expire(u8),
    /// The store takes a copy of its content.
    TakeCopy,
    /// The store comes back with the copy.
    ComeBack,
    /// A relay reads the list, or the changes if it can.
    Read(usize),
    /// The balancer asks a relay for updates.
    Ask(usize),
    /// The relay's list is read but arrives with a later step.
    DelayList(usize),
    /// The delayed list arrives.
    DeliverList(usize),
    /// Three seconds pass: living targets write their entries, the store removes the others.
    Wait,
    /// The balancer starts again without any knowledge.
    Restart,
}

const STEPS: [Step; 13] = [
    Step::ChangeTarget(1),
    Step::EndTarget(1),
    Step::Expire(1),
    Step::TakeCopy,
    Step::ComeBack,
    Step::Read(0),
    Step::Read(1),
    Step::Ask(0),
    Step::Ask(1),
    Step::DelayList(0),
    Step::DeliverList(0),
    Step::Wait,
    Step::Restart,
];

/// The index of the balancer that asks the relays.
const CHILD: usize = 2;

/// The platform's store.
#[derive(Clone, Default)]
struct Store {
    position: Position,
    entries: BTreeMap<u8, TargetInstance>,
    history: Vec<(Position, TargetChange)>,
    copy: Option<(u64, BTreeMap<u8, TargetInstance>)>,
}

impl Store {
    fn record(&mut self, change: TargetChange) {
        let revision = u64::from(self.position.revision) + 1;
        self.position = Position::new(self.position.era, revision.into());
        self.history.push((self.position, change));
    }

    fn put(&mut self, n: u8, instance: TargetInstance) {
        if self.entries.get(&n) != Some(&instance) {
            self.entries.insert(n, instance.clone());
            self.record(TargetChange::Put(instance));
        }
    }

    fn remove(&mut self, n: u8) {
        if let Some(instance) = self.entries.remove(&n) {
            self.record(TargetChange::Removed(instance.name));
        }
    }

    fn take_copy(&mut self) {
        let revision = self.position.revision.into();
        self.copy = Some((revision, self.entries.clone()));
    }

    fn come_back(&mut self) {
        let Some((revision, entries)) = self.copy.clone() else {
            return;
        };
        let era = u64::from(self.position.era) + 1;
        self.position = Position::new(era.into(), revision.into());
        self.entries = entries;
        self.history.clear();
    }

    fn listing(&self) -> DirectoryListing {
        DirectoryListing {
            as_of: self.position,
            targets: self.entries.values().cloned().collect(),
        }
    }

    /// Returns the changes after `from`; `None` if the store does not have them.
    fn changes(&self, from: Position) -> Option<Vec<TargetChange>> {
        if from.era != self.position.era || from > self.position {
            return None;
        }
        let newer = self.history.iter().filter(|(at, _)| *at > from);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }
}

struct Model {
    store: Store,
    /// What each target is: its start time, and its state unless it has ended.
    targets: BTreeMap<u8, (u64, Option<InstanceState>)>,
    starts: u64,
    /// The two relays and the balancer behind them.
    balancers: [World; 3],
    delayed: [Option<DirectoryListing>; 2],
    /// The incarnations that each balancer has known as draining or ended.
    known_leaving: [BTreeSet<Incarnation>; 3],
    /// The incarnations that each balancer had listed after the last step.
    present: [BTreeSet<Incarnation>; 3],
    last_positions: [Position; 3],
}

fn instance(n: u8, started_at_ms: u64, state: InstanceState) -> TargetInstance {
    TargetInstance {
        state,
        started_at_ms: Some(started_at_ms),
        ..target(n)
    }
}

impl Model {
    fn new() -> Self {
        let mut store = Store::default();
        let mut targets = BTreeMap::new();
        for n in [1, 2] {
            store.put(n, instance(n, 0, InstanceState::Ready));
            targets.insert(n, (0, Some(InstanceState::Ready)));
        }
        store.take_copy();
        let mut model = Self {
            store,
            targets,
            starts: 0,
            balancers: [1, 2, 3].map(World::empty),
            delayed: [None, None],
            known_leaving: Default::default(),
            present: Default::default(),
            last_positions: [Position::ZERO; 3],
        };
        model.read(0);
        model.read(1);
        model.ask(0);
        model
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::ChangeTarget(n) => self.change_target(n),
            Step::EndTarget(n) => {
                let (started, _) = self.targets[&n];
                self.targets.insert(n, (started, None));
                self.store.remove(n);
            }
            Step::Expire(n) => self.store.remove(n),
            Step::TakeCopy => self.store.take_copy(),
            Step::ComeBack => self.store.come_back(),
            Step::Read(relay) => self.read(relay),
            Step::Ask(relay) => self.ask(relay),
            Step::DelayList(relay) => self.delayed[relay] = Some(self.store.listing()),
            Step::DeliverList(relay) => {
                if let Some(listing) = self.delayed[relay].take() {
                    let w = &mut self.balancers[relay];
                    w.core.on_listing(w.now, None, listing);
                }
            }
            Step::Wait => self.wait(),
            Step::Restart => {
                let now = self.balancers[CHILD].now;
                self.balancers[CHILD] = World::empty(3);
                self.balancers[CHILD].now = now;
                self.known_leaving[CHILD].clear();
                self.present[CHILD].clear();
                self.last_positions[CHILD] = Position::ZERO;
            }
        }
    }

    fn change_target(&mut self, n: u8) {
        let (started, state) = self.targets[&n];
        match state {
            Some(InstanceState::Ready) => {
                self.targets
                    .insert(n, (started, Some(InstanceState::Draining)));
                self.store
                    .put(n, instance(n, started, InstanceState::Draining));
            }
            Some(InstanceState::Draining) => {
                self.targets.insert(n, (started, None));
                self.store.remove(n);
            }
            None => {
                self.starts += 1;
                self.targets
                    .insert(n, (self.starts, Some(InstanceState::Ready)));
                self.store
                    .put(n, instance(n, self.starts, InstanceState::Ready));
            }
        }
    }

    fn read(&mut self, relay: usize) {
        let w = &mut self.balancers[relay];
        let known = w.core.directory().as_of();
        let changes = self.store.changes(known);
        match changes.filter(|_| known != Position::ZERO) {
            Some(changes) => {
                let as_of = self.store.position;
                w.core.on_changes(w.now, Some(w.now), changes, as_of);
            }
            None => {
                let listing = self.store.listing();
                w.core.on_listing(w.now, Some(w.now), listing);
            }
        }
        let routes = table(1, standard_routes());
        w.core
            .on_routes(w.now, Some(w.now), self.store.position, routes);
    }

    fn ask(&mut self, relay: usize) {
        let known = self.balancers[CHILD].core.known_state();
        let w = &self.balancers[relay];
        let Some(update) = w.core.update_for(w.now, known) else {
            return;
        };
        self.balancers[CHILD].apply_peer_update(update);
    }

    fn wait(&mut self) {
        for w in &mut self.balancers {
            w.advance_clock(3_000);
            w.core.tick(w.now);
        }
        for (n, (started, state)) in self.targets.clone() {
            match state {
                Some(state) => self.store.put(n, instance(n, started, state)),
                None => self.store.remove(n),
            }
        }
    }

    /// Checks what has to hold after each step.
    fn check(&mut self) -> Result<(), String> {
        for i in 0..self.balancers.len() {
            let position = self.balancers[i].core.directory().as_of();
            if position < self.last_positions[i] {
                return Err(format!(
                    "balancer {i} went back to {position} from {}",
                    self.last_positions[i]
                ));
            }
            self.last_positions[i] = position;
            self.learn(i);
            for chosen in self.chosen(i) {
                if self.known_leaving[i].contains(&chosen) {
                    return Err(format!("balancer {i} uses {chosen:?}, known to leave"));
                }
            }
        }
        Ok(())
    }

    /// Takes note of the incarnations that balancer `i` knows to leave.
    fn learn(&mut self, i: usize) {
        let listed = self.balancers[i].core.directory().listing().targets;
        let number = |t: &TargetInstance| (1..=2).find(|n| target(*n).name == t.name);
        let mut present = BTreeSet::new();
        for instance in &listed {
            let (Some(n), Some(started)) = (number(instance), instance.started_at_ms) else {
                continue;
            };
            present.insert((n, started));
            if instance.state == InstanceState::Draining {
                self.known_leaving[i].insert((n, started));
            }
        }
        // A living target may be missing from an older copy.
        let has_ended = |(n, started): &Incarnation| {
            let (current, state) = self.targets[n];
            current != *started || state.is_none()
        };
        let gone = self.present[i].difference(&present).copied();
        let gone: Vec<Incarnation> = gone.filter(has_ended).collect();
        self.known_leaving[i].extend(gone);
        self.present[i] = present;
    }

    /// Returns the incarnations to which balancer `i` sends new flows.
    fn chosen(&mut self, i: usize) -> BTreeSet<Incarnation> {
        let w = &mut self.balancers[i];
        if !w.core.can_place(w.now) {
            return BTreeSet::new();
        }
        let listed = w.core.directory().listing().targets;
        let mut chosen = BTreeSet::new();
        for port in 0..3 {
            if let Verdict::Forward { to, .. } = w.open(port, CERTIFICATE, 0) {
                let instance = listed.iter().find(|t| t.address == to);
                let n = (1..=2).find(|n| target(*n).address == to).unwrap();
                if let Some(started) = instance.and_then(|t| t.started_at_ms) {
                    chosen.insert((n, started));
                }
            }
        }
        chosen
    }

    /// Lets everything come to rest and checks that all agree with the store.
    fn settle(&mut self) -> Result<(), String> {
        for _ in 0..3 {
            self.wait();
            self.read(0);
            self.read(1);
            self.ask(0);
        }
        let ready = self.targets.iter();
        let ready = ready.filter(|(_, (_, state))| *state == Some(InstanceState::Ready));
        let ready: BTreeSet<Incarnation> = ready.map(|(n, (started, _))| (*n, *started)).collect();
        for (i, w) in self.balancers.iter().enumerate() {
            let listed = w.core.directory().listing().targets;
            let usable = listed.iter().filter(|t| t.state == InstanceState::Ready);
            let usable: BTreeSet<Incarnation> = usable
                .filter_map(|t| {
                    let n = (1..=2).find(|n| target(*n).name == t.name)?;
                    Some((n, t.started_at_ms?))
                })
                .collect();
            if usable != ready || w.core.directory().as_of() != self.store.position {
                return Err(format!("balancer {i} uses {usable:?}, {ready:?} are ready"));
            }
        }
        Ok(())
    }
}

/// Runs one sequence; returns the first property that fails and after how many steps.
fn run(steps: &[Step]) -> Result<(), (usize, String)> {
    let mut model = Model::new();
    for (done, step) in steps.iter().enumerate() {
        model.apply(*step);
        model.check().map_err(|e| (done + 1, e))?;
    }
    model.settle().map_err(|e| (steps.len(), e))
}

fn depth() -> usize {
    let depth = std::env::var("ZINNIADRIFT_MODEL_DEPTH").ok();
    depth.and_then(|d| d.parse().ok()).unwrap_or(DEFAULT_DEPTH)
}

/// Guards against new flows to a target that a balancer knew to leave, against knowledge that goes
/// back, and against balancers that disagree with the store for good.
#[test]
fn every_short_sequence_keeps_the_properties() {
    let depth = depth();
    let count = STEPS.len().pow(u32::try_from(depth).unwrap());
    for number in 0..count {
        let mut rest = number;
        let steps: Vec<Step> = (0..depth)
            .map(|_| {
                let step = STEPS[rest % STEPS.len()];
                rest /= STEPS.len();
                step
            })
            .collect();
        if let Err((done, error)) = run(&steps) {
            panic!("after {:?}: {error}", &steps[..done]);
        }
    }
}
