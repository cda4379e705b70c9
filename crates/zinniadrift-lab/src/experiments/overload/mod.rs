//! Experiment on load beyond what the targets can process.
//!
//! Callers send requests on open flows and on flows of one request, retransmit and retry. Each
//! balancer is a real [`Steering`](zinniadrift_core::steering::Steering) and sees only the flows
//! that the routers send to it. Targets process a few requests at once, queue a few more, refuse
//! what exceeds the queue and may be slow or dead.

mod balancer;
mod balancer_events;
mod caller;
mod caller_events;
mod event;
mod event_queue;
mod scenario;
mod simulation;
mod tally;
mod target;
mod target_events;

use std::thread;

use zinniadrift_core::steering::{OverrideError, SteeringSettings};

use super::report::Report;
use super::{Experiment, MeasureLine};

pub use caller::{CallerRoute, LONG_FLOWS, SINGLE_REQUESTS};
pub use scenario::{Fault, Scenario};
pub use simulation::{decision_log, run};
pub use tally::{OpenTally, RouteTally, Tally};

/// Measures the requests answered in time, late and not at all, over the load.
pub(crate) const EXPERIMENT: Experiment = Experiment {
    name: "overload",
    policies: &["default", "forward", "first-come", "room"],
    check_policy: |policy| {
        policy_settings(policy)
            .map(drop)
            .map_err(|e| e.to_string().into())
    },
    run: measure,
};

/// Returns the settings of a policy: a name of the experiment or a comma-separated list of
/// `SETTING=VALUE`.
///
/// `forward` sends every request on at once; `first-come` limits the requests at a target and
/// serves the waiting ones in the order of their arrival; `room` admits new flows by priority and
/// caller.
///
/// # Errors
///
/// Fails if there is no such setting or if it does not accept the value.
pub fn policy_settings(policy: &str) -> Result<SteeringSettings, OverrideError> {
    let overrides = match policy {
        "default" => "",
        "forward" => "admission.enabled=false",
        "first-come" => "admission.newest_first=false",
        "room" => "room.enabled=true",
        other => other,
    };
    let overrides = overrides.split(',').filter(|text| !text.is_empty());
    let mut cfg = SteeringSettings::default();
    for text in overrides {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        cfg = cfg.with_override(name, value)?;
    }
    Ok(cfg)
}

fn measure(policy: &str, seed: u64) -> Vec<MeasureLine> {
    let cfg = policy_settings(policy).expect("the policy was checked");
    let scenarios = scenario::standard();
    let tallies: Vec<Tally> = thread::scope(|scope| {
        let run_one = |scenario: &Scenario| run(scenario, &cfg, seed);
        let runs: Vec<_> = scenarios
            .iter()
            .map(|(_, scenario)| scope.spawn(move || run_one(scenario)))
            .collect();
        let joined = runs.into_iter().map(|run| run.join());
        joined
            .map(|tally| tally.expect("a simulation does not panic"))
            .collect()
    });
    let mut report = Report::new("overload", policy, seed);
    for ((name, scenario), tally) in scenarios.iter().zip(&tallies) {
        report_tally(&mut report, name, scenario, tally);
    }
    report.finish()
}

fn report_tally(report: &mut Report, name: &str, scenario: &Scenario, tally: &Tally) {
    let all = tally.total();
    let possible = scenario.possible_share();
    report.add(&format!("{name}_in_time"), all.in_time_share(), "ratio");
    report.add(
        &format!("{name}_in_time_of_possible"),
        all.in_time_share() / possible,
        "ratio",
    );
    report.add(&format!("{name}_late"), all.late_share(), "ratio");
    report.add(&format!("{name}_refused"), all.refused_share(), "ratio");
    report.add(
        &format!("{name}_unanswered"),
        all.unanswered_share(),
        "ratio",
    );
    report.add(&format!("{name}_p50"), all.quantile_ms(0.5), "ms");
    report.add(&format!("{name}_p99"), all.quantile_ms(0.99), "ms");
    for (route, tally) in tally.routes() {
        let figure = format!("{name}_in_time_{route}");
        report.add(&figure, tally.in_time_share(), "ratio");
    }
    let window = format!("{name}_worst_window_in_time");
    report.add(&window, tally.worst_window(), "ratio");
}
