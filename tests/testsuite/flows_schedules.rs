//! Runs random schedules of flows, edits, joins, leaves and failures.

use std::time::Duration;

use proptest::prelude::*;
use zinniadrift_core::balancer::Mechanisms;
use zinniadrift_core::membership::MemberState;

use crate::flows_world::{TargetSpec, World};

const MEMBERS: usize = 4;
const SERVICES: &[&str] = &["gradebook", "corevault"];

/// A step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    Open(u16, u8, u16),
    Probe(u16),
    Edit(u16, u16, Change, u16),
    Advance(u16),
    Join,
    Leave(u16),
    Pause(u16),
    Resume,
    Kill(u16),
    Cut(u16, u16),
    Heal,
    Report(u16, u16, u8, bool),
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Add,
    Drain,
    Weight(u8),
    Policy,
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(Change::Add),
        Just(Change::Drain),
        (20..200_u8).prop_map(Change::Weight),
        Just(Change::Policy),
    ]
}

/// Returns planned operations, during which no flow may break.
fn planned() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (any::<u16>(), 1..20_u8, any::<u16>()).prop_map(|(s, n, m)| Step::Open(s, n, m)),
        3 => any::<u16>().prop_map(Step::Probe),
        4 => (any::<u16>(), any::<u16>(), change(), 0..5_000_u16)
            .prop_map(|(s, t, c, d)| Step::Edit(s, t, c, d)),
        6 => (1..4_000_u16).prop_map(Step::Advance),
        1 => Just(Step::Join),
        1 => any::<u16>().prop_map(Step::Leave),
        2 => (any::<u16>(), any::<u16>(), any::<u8>(), any::<bool>())
            .prop_map(|(s, t, n, h)| Step::Report(s, t, n, h)),
    ]
}

/// Returns planned operations and failures of members and links.
fn unplanned() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => planned(),
        1 => any::<u16>().prop_map(Step::Pause),
        1 => Just(Step::Resume),
        1 => any::<u16>().prop_map(Step::Kill),
        1 => (any::<u16>(), any::<u16>()).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => Just(Step::Heal),
    ]
}

#[derive(Debug, Default)]
struct Sums {
    broken: usize,
    wrong_service: usize,
}

struct Schedule {
    world: World,
    sums: Sums,
    joined: usize,
}

impl Schedule {
    fn new(seed: u64, loss: f64, jitter: u64) -> Self {
        let mut world = World::settled(seed, Mechanisms::default(), MEMBERS);
        world.group.network.loss = loss;
        world.group.network.jitter = Duration::from_micros(jitter);
        Self {
            world,
            sums: Sums::default(),
            joined: 0,
        }
    }

    fn run(mut self, steps: &[Step]) -> Sums {
        for step in steps {
            self.execute(step);
        }
        self.execute(&Step::Heal);
        self.execute(&Step::Resume);
        self.world.advance(60_000);
        for member in self.world.running() {
            self.probe(member);
        }
        self.sums
    }

    fn execute(&mut self, step: &Step) {
        let w = &mut self.world;
        let running = w.running();
        let leaves = |m: &usize| w.group.members[*m].core.state() == MemberState::Leaving;
        let staying: Vec<usize> = running.iter().copied().filter(|m| !leaves(m)).collect();
        match step {
            Step::Open(s, n, m) => {
                w.open(pick(*s, SERVICES), usize::from(*n), pick(*m, &running));
            }
            Step::Probe(m) => self.probe(pick(*m, &running)),
            Step::Edit(s, t, c, spread) => self.edit(pick(*s, SERVICES), *t, *c, *spread),
            Step::Advance(ms) => w.advance((*ms).into()),
            Step::Join => self.join(),
            // Two members always stay, so that another member can take over.
            Step::Leave(m) if staying.len() > 2 => w.group.leave(pick(*m, &staying)),
            Step::Kill(m) if staying.len() > 2 => w.group.kill(pick(*m, &staying)),
            Step::Pause(m) if staying.len() > 1 => w.group.pause(pick(*m, &staying)),
            Step::Leave(_) | Step::Kill(_) | Step::Pause(_) => {}
            Step::Resume => {
                for m in 0..w.names.len() {
                    w.group.resume(m);
                }
            }
            Step::Cut(a, b) => w
                .group
                .partition(&[pick(*a, &running)], &[pick(*b, &running)]),
            Step::Heal => w.group.network.heal(),
            Step::Report(s, t, flows, healthy) => {
                let service = pick(*s, SERVICES);
                let names: Vec<String> = w.services[service].keys().cloned().collect();
                w.report(service, &pick(*t, &names), (*flows).into(), *healthy);
            }
        }
    }

    fn probe(&mut self, member: usize) {
        let tally = self.world.probe(member);
        self.sums.broken += tally.broken;
        self.sums.wrong_service += tally.wrong_service;
    }

    fn join(&mut self) {
        self.joined += 1;
        let name = format!("j{}", self.joined);
        let member = self.world.join(&name, "olten");
        let catalog = self.world.catalog(self.world.version());
        self.world
            .group
            .deliver_settings(member, &catalog, Duration::ZERO);
        // The new member's own heartbeats introduce it to the others.
        self.world.advance(100);
    }

    fn edit(&mut self, service: &str, target: u16, change: Change, spread: u16) {
        let w = &mut self.world;
        let names: Vec<String> = w.services[service].keys().cloned().collect();
        let target = pick(target, &names);
        let active = w.services[service].values();
        let active = active.filter(|x| **x != TargetSpec::DRAINING).count();
        match change {
            Change::Add => w.set_target(
                service,
                &format!("n{}", names.len()),
                Some(TargetSpec::ACTIVE),
            ),
            Change::Drain if active > 1 => {
                w.set_target(service, &target, Some(TargetSpec::DRAINING));
            }
            Change::Weight(weight) => {
                let state = w.services[service][&target].state;
                let weight = weight.into();
                w.set_target(service, &target, Some(TargetSpec { weight, state }));
            }
            Change::Drain | Change::Policy => w.policies.flows.imbalance_tolerance += 0.001,
        }
        let members = w.names.len().max(1) as u32;
        w.edit_all(Duration::from_millis(spread.into()) / members);
    }
}

/// Returns the element of `from` that the random number `n` selects.
fn pick<T: Clone>(n: u16, from: &[T]) -> T {
    from[usize::from(n) % from.len()].clone()
}

fn steps(step: impl Strategy<Value = Step>) -> impl Strategy<Value = Vec<Step>> {
    proptest::collection::vec(step, 1..40)
}

/// The number of cases per property, unless `PROPTEST_CASES` is set.
const DEFAULT_CASES: u32 = 96;

fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    let is_set = std::env::var_os("PROPTEST_CASES").is_some();
    ProptestConfig {
        cases: if is_set { default.cases } else { DEFAULT_CASES },
        failure_persistence: None,
        ..default
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against planned changes that move an established flow to another target.
    #[test]
    fn planned_changes_break_no_flow(
        seed in any::<u64>(), jitter in 0..1_500_u64, steps in steps(planned())
    ) {
        let sums = Schedule::new(seed, 0.0, jitter).run(&steps);
        prop_assert_eq!(sums.broken, 0, "seed {}", seed);
        prop_assert_eq!(sums.wrong_service, 0, "seed {}", seed);
    }

    /// Guards against planned changes that move a flow to another target when messages between
    /// members are lost.
    #[test]
    fn planned_changes_under_loss_break_no_flow(
        seed in any::<u64>(), steps in steps(planned())
    ) {
        let sums = Schedule::new(seed, 0.02, 500).run(&steps);
        prop_assert_eq!(sums.broken, 0, "seed {}", seed);
        prop_assert_eq!(sums.wrong_service, 0, "seed {}", seed);
    }

    /// Guards against packets that reach another service during failures, and against panics.
    #[test]
    fn failures_never_mix_services(seed in any::<u64>(), steps in steps(unplanned())) {
        let sums = Schedule::new(seed, 0.1, 2_000).run(&steps);
        prop_assert_eq!(sums.wrong_service, 0, "seed {}", seed);
    }
}

/// Guards against a deadlock when a joining member moves to newer settings while the others cannot
/// leave the previous rebase: all members stayed in the phase `Defaulted` forever.
#[test]
fn join_during_rebase_and_second_edit() {
    let steps = [
        Step::Open(0, 2, 0),
        Step::Advance(3_148),
        Step::Edit(0, 0, Change::Drain, 0),
        Step::Advance(104),
        Step::Edit(0, 1, Change::Weight(59), 0),
        Step::Join,
        Step::Open(0, 20, 4),
    ];
    for seed in 1..=20 {
        let sums = Schedule::new(seed, 0.02, 500).run(&steps);
        assert_eq!(sums.broken, 0, "seed {seed}");
    }
}
