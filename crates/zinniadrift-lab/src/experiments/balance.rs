//! Experiment on how evenly flows are spread over targets.

use std::thread;

use super::fleet::{Action, Cause, Change, LoadSpread, SAMPLE_INTERVAL_S, Scale, Tally};
use super::report::Report;
use super::run_groups::run_groups;
use super::{Experiment, MeasureLine, policies};

/// Measures the imbalance in the steady state and after a target is added or drained.
pub(crate) const EXPERIMENT: Experiment = Experiment {
    name: "balance",
    policies: policies::POLICIES,
    check_policy: super::experiment::only_named,
    run: |policy, seed| measure(policy, seed, Scale::default()),
};

/// The time between the end of the ramp-up and the steady-state samples, in seconds.
const SETTLE_S: f64 = 80.0;
/// The time over which steady-state samples are taken, in seconds; the worst sample counts.
const STEADY_STATE_S: f64 = 60.0;
/// The time between the first misleading reports and the first change, in seconds.
///
/// Some targets begin to send misleading reports after the ramp-up, as would happen in operation.
const MISLEADING_S: f64 = 300.0;
/// The time between a change and the sample taken for it, in seconds.
const AFTER_CHANGE_S: f64 = 60.0;
/// The time between two changes, in seconds.
const STEP_S: f64 = 150.0;

/// The time between two samples, in seconds.
const SAMPLE_S: f64 = SAMPLE_INTERVAL_S as f64;

/// The index of the service with many targets.
const LARGE_SERVICE: usize = 0;
/// The index of the service with few targets.
const SMALL_SERVICE: usize = 1;

/// The parameters of one run of the experiment.
struct Run {
    scale: Scale,
    /// The virtual time of the first change, which ends the steady state, in seconds.
    first_change_s: f64,
    misleading_from_s: Option<f64>,
    script: Vec<Change>,
}

impl Run {
    fn new(scale: Scale, earliest_s: f64, misleading_from_s: Option<f64>) -> Self {
        let first_change_s = (earliest_s / SAMPLE_S).ceil() * SAMPLE_S;
        Self {
            scale,
            first_change_s,
            misleading_from_s,
            script: script(first_change_s),
        }
    }

    fn tallies(&self, policy: &str, seed: u64) -> Vec<Tally> {
        let end_s = self.first_change_s + self.script.len() as f64 * STEP_S;
        let from_s = self.misleading_from_s;
        run_groups(policy, seed, self.scale, from_s, &self.script, end_s)
    }
}

/// Runs one policy on a population of the given size and returns its figures.
///
/// `imbalance_after_change` covers the services with many targets. The figures of the services with
/// four targets have the suffix `_small`. Where flows last for hours, no policy can give a new
/// target of such a service its share within a minute without moving flows; the lowest possible
/// imbalance is therefore reported as `imbalance_after_change_floor`.
pub fn measure(policy: &str, seed: u64, scale: Scale) -> Vec<MeasureLine> {
    let settled_s = scale.ramp_up_s() + SETTLE_S;
    let accurate = Run::new(scale, settled_s + STEADY_STATE_S, None);
    let misleading = Run::new(scale, settled_s + MISLEADING_S, Some(settled_s));
    let (accurate_tallies, misleading_tallies) = thread::scope(|scope| {
        let misleading = scope.spawn(|| misleading.tallies(policy, seed));
        let accurate = accurate.tallies(policy, seed);
        (
            accurate,
            misleading.join().expect("a simulation does not panic"),
        )
    });
    let mut report = Report::new("balance", policy, seed);
    report_run(&mut report, "", &accurate_tallies, &accurate);
    report_run(&mut report, "_misleading", &misleading_tallies, &misleading);
    report.finish()
}

fn script(first_change_s: f64) -> Vec<Change> {
    // The drain comes first, since a new target affects the load spread for as long as the
    // existing flows last.
    let actions = [
        Action::Drain {
            service: LARGE_SERVICE,
            target: 3,
        },
        Action::AddTarget {
            service: LARGE_SERVICE,
        },
        Action::Drain {
            service: SMALL_SERVICE,
            target: 1,
        },
        Action::AddTarget {
            service: SMALL_SERVICE,
        },
    ];
    let timed = actions.into_iter().enumerate();
    timed
        .map(|(i, action)| Change {
            at_s: first_change_s + i as f64 * STEP_S,
            cause: Cause::Planned,
            action,
        })
        .collect()
}

fn report_run(report: &mut Report, suffix: &str, tallies: &[Tally], run: &Run) {
    report_steady_state(report, suffix, tallies, run.first_change_s);
    report_changes(report, suffix, tallies, run);
}

fn report_steady_state(report: &mut Report, suffix: &str, tallies: &[Tally], end_s: f64) {
    let mut worst = LoadSpread::default();
    for tally in tallies {
        let samples = tally.spreads.iter();
        let steady = samples.filter(|(at, _)| *at >= end_s - STEADY_STATE_S && *at < end_s);
        for spread in steady.flat_map(|(_, spreads)| spreads) {
            worst = worse(worst, *spread);
        }
    }
    add_spread(report, "imbalance_rest", suffix, worst);
}

fn report_changes(report: &mut Report, suffix: &str, tallies: &[Tally], run: &Run) {
    let mut worst = [LoadSpread::default(); 2];
    let mut lowest = [1.0_f64; 2];
    for change in &run.script {
        let (service, kind) = match change.action {
            Action::AddTarget { service } => (service, "join"),
            Action::Drain { service, .. } => (service, "leave"),
            _ => continue,
        };
        let mut after_change = LoadSpread::default();
        for tally in tallies {
            let before = spread_at(tally, change.at_s - SAMPLE_S, service);
            let after = spread_at(tally, change.at_s + AFTER_CHANGE_S, service);
            after_change = worse(after_change, after);
            lowest[service] = lowest[service].max(lowest_imbalance(before, after, run.scale));
        }
        worst[service] = worse(worst[service], after_change);
        let size = ["", "_small"][service];
        let figure = format!("imbalance_after_{kind}{size}{suffix}");
        report.add(&figure, after_change.imbalance, "ratio");
    }
    for (service, size) in [(LARGE_SERVICE, ""), (SMALL_SERVICE, "_small")] {
        let suffix = format!("{size}{suffix}");
        add_spread(report, "imbalance_after_change", &suffix, worst[service]);
        let figure = format!("imbalance_after_change_floor{suffix}");
        report.add(&figure, lowest[service], "ratio");
    }
}

/// Returns the lowest imbalance that is possible after a target was added, without moving flows.
///
/// In the best case the existing targets are equally loaded and the new target receives every new
/// flow.
fn lowest_imbalance(before: LoadSpread, after: LoadSpread, scale: Scale) -> f64 {
    if after.targets <= before.targets {
        return 1.0;
    }
    let share = after.flows / scale.flows as f64;
    let arrivals = scale.arrival_rate() * share * AFTER_CHANGE_S;
    let mean = after.flows / after.targets as f64;
    let others = (after.flows - arrivals) / before.targets as f64;
    (others / mean).max(1.0)
}

fn spread_at(tally: &Tally, at_s: f64, service: usize) -> LoadSpread {
    let mut samples = tally.spreads.iter();
    let found = samples.find(|(at, _)| *at >= at_s);
    found.map_or_else(LoadSpread::default, |(_, spreads)| spreads[service])
}

fn worse(a: LoadSpread, b: LoadSpread) -> LoadSpread {
    if b.imbalance > a.imbalance { b } else { a }
}

fn add_spread(report: &mut Report, figure: &str, suffix: &str, spread: LoadSpread) {
    report.add(&format!("{figure}{suffix}"), spread.imbalance, "ratio");
    let deviation = format!("{figure}{suffix}_deviation");
    report.add(&deviation, spread.deviation, "ratio");
}
