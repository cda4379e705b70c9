//! Measures how evenly flows are spread over targets.

use std::thread;

use super::fleet::{Action, Cause, Change, LoadSpread, SAMPLE_INTERVAL_S, Scale, Tally};
use super::report::Report;
use super::run_groups::run_groups;
use super::{Experiment, MeasureLine, policies};

/// Measures the imbalance at rest and after a target joined or left.
pub(crate) const EXPERIMENT: Experiment = Experiment {
    name: "balance",
    policies: policies::POLICIES,
    run: |policy, seed| measure(policy, seed, Scale::default()),
};

/// The time after the population is complete at which the rest begins, in seconds.
const SETTLE_S: f64 = 80.0;
/// The length of the rest in seconds; its worst sample counts.
const REST_S: f64 = 60.0;
/// The time between the first misleading reports and the first change in seconds. The reports of
/// some targets become misleading while the population is complete, as they would in operation.
const MISLED_S: f64 = 300.0;
/// The time from a change to its sample in seconds.
const AFTER_CHANGE_S: f64 = 60.0;
/// The time between changes in seconds.
const STEP_S: f64 = 150.0;

/// The time between two samples in seconds.
const SAMPLE_S: f64 = SAMPLE_INTERVAL_S as f64;

/// Indexes of the user's services with many and with few targets.
const LARGE: usize = 0;
const SMALL: usize = 1;

struct Run {
    scale: Scale,
    /// The time of the first change, which ends the rest.
    start_s: f64,
    misleading_from_s: Option<f64>,
    script: Vec<Change>,
}

impl Run {
    fn new(scale: Scale, earliest_s: f64, misleading_from_s: Option<f64>) -> Self {
        let start_s = (earliest_s / SAMPLE_S).ceil() * SAMPLE_S;
        Self {
            scale,
            start_s,
            misleading_from_s,
            script: script(start_s),
        }
    }

    fn tallies(&self, policy: &str, seed: u64) -> Vec<Tally> {
        let end_s = self.start_s + self.script.len() as f64 * STEP_S;
        let from_s = self.misleading_from_s;
        run_groups(policy, seed, self.scale, from_s, &self.script, end_s)
    }
}

/// Runs one policy on a population of the given size.
///
/// `imbalance_after_change` covers the services with many targets. In a service with four targets
/// whose flows last hours no policy can give a newcomer its share within a minute without moving
/// flows; its figures have the suffix `_small` and stand beside the best that is possible.
pub fn measure(policy: &str, seed: u64, scale: Scale) -> Vec<MeasureLine> {
    let settled_s = scale.ramp_up_s() + SETTLE_S;
    let honest = Run::new(scale, settled_s + REST_S, None);
    let misled = Run::new(scale, settled_s + MISLED_S, Some(settled_s));
    let (honest_tallies, misled_tallies) = thread::scope(|scope| {
        let misled = scope.spawn(|| misled.tallies(policy, seed));
        let honest = honest.tallies(policy, seed);
        (honest, misled.join().expect("a simulation does not panic"))
    });
    let mut report = Report::new("balance", policy, seed);
    report_run(&mut report, "", &honest_tallies, &honest);
    report_run(&mut report, "_misleading", &misled_tallies, &misled);
    report.finish()
}

fn script(start_s: f64) -> Vec<Change> {
    // Leaving comes first, since the effect of a join on the spread lasts as long as the flows.
    let actions = [
        Action::Drain {
            service: LARGE,
            target: 3,
        },
        Action::AddTarget { service: LARGE },
        Action::Drain {
            service: SMALL,
            target: 1,
        },
        Action::AddTarget { service: SMALL },
    ];
    let timed = actions.into_iter().enumerate();
    timed
        .map(|(i, action)| Change {
            at_s: start_s + i as f64 * STEP_S,
            cause: Cause::Planned,
            action,
        })
        .collect()
}

fn report_run(report: &mut Report, suffix: &str, tallies: &[Tally], run: &Run) {
    report_rest(report, suffix, tallies, run.start_s);
    report_changes(report, suffix, tallies, run);
}

fn report_rest(report: &mut Report, suffix: &str, tallies: &[Tally], end_s: f64) {
    let mut worst = LoadSpread::default();
    for tally in tallies {
        let samples = tally.spreads.iter();
        let rest = samples.filter(|(at, _)| *at >= end_s - REST_S && *at < end_s);
        for spread in rest.flat_map(|(_, spreads)| spreads) {
            worst = worse(worst, *spread);
        }
    }
    add(report, "imbalance_rest", suffix, worst);
}

fn report_changes(report: &mut Report, suffix: &str, tallies: &[Tally], run: &Run) {
    let mut worst = [LoadSpread::default(); 2];
    let mut floors = [1.0_f64; 2];
    for change in &run.script {
        let (service, kind) = match change.action {
            Action::AddTarget { service } => (service, "join"),
            Action::Drain { service, .. } => (service, "leave"),
            _ => continue,
        };
        let mut of_change = LoadSpread::default();
        for tally in tallies {
            let before = spread_at(tally, change.at_s - SAMPLE_S, service);
            let after = spread_at(tally, change.at_s + AFTER_CHANGE_S, service);
            of_change = worse(of_change, after);
            floors[service] = floors[service].max(floor(before, after, run.scale));
        }
        worst[service] = worse(worst[service], of_change);
        let size = ["", "_small"][service];
        let figure = format!("imbalance_after_{kind}{size}{suffix}");
        report.add(&figure, of_change.imbalance, "ratio");
    }
    for (service, size) in [(LARGE, ""), (SMALL, "_small")] {
        let suffix = format!("{size}{suffix}");
        add(report, "imbalance_after_change", &suffix, worst[service]);
        let figure = format!("imbalance_after_change_floor{suffix}");
        report.add(&figure, floors[service], "ratio");
    }
}

/// Returns the least imbalance that is possible after a target joined, without moving flows.
///
/// At best the other targets are equally loaded and the newcomer got every new flow.
fn floor(before: LoadSpread, after: LoadSpread, scale: Scale) -> f64 {
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

fn add(report: &mut Report, figure: &str, suffix: &str, spread: LoadSpread) {
    report.add(&format!("{figure}{suffix}"), spread.imbalance, "ratio");
    let deviation = format!("{figure}{suffix}_deviation");
    report.add(&deviation, spread.deviation, "ratio");
}
