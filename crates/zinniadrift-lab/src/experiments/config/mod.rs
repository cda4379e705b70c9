//! Measures how edits of the settings come into force on the daemons.

mod daemon;
mod event_queue;
mod in_force_tracker;
mod platform_model;
mod poll_daemon;
mod report;
mod scenario;
mod simulation;
mod tree;

use std::time::Duration;

use daemon::Daemon;
pub use report::ConfigReport;
pub use scenario::{ConfigPolicy, ConfigScenario};
use simulation::Simulation;

use super::{Experiment, MeasureLine};

const MEASURE: &str = "config";
const SWEEP_MEMBERS: [usize; 4] = [4, 8, 16, 32];
const SWEEP_SERVICES: [usize; 3] = [4, 40, 400];
/// The number of edits per run of the sweep over sizes. It is small because large documents make
/// each edit slow to simulate.
const SWEEP_EDITS: u32 = 10;

/// The experiment `config`.
///
/// The policy `unchecked` is `default` without the check of versions; with `poll`, each daemon
/// reads the platform every 5 s and installs the document without that check.
pub(super) const EXPERIMENT: Experiment = Experiment {
    name: MEASURE,
    policies: &["default", "poll", "unchecked"],
    check_policy: super::experiment::only_named,
    run: measure_config,
};

/// Runs the experiment with the given policy and seed.
fn measure_config(policy: &str, seed: u64) -> Vec<MeasureLine> {
    let Some(parsed) = ConfigPolicy::from_name(policy) else {
        return Vec::new();
    };
    let mut lines = FigureLines {
        policy,
        seed,
        lines: Vec::new(),
    };
    lines.add_without_faults(&run_config(parsed, seed, &ConfigScenario::default()));
    lines.add_with_faults(&run_config(parsed, seed, &ConfigScenario::with_faults()));
    let all_late = ConfigScenario {
        late_every: 1,
        ..ConfigScenario::default()
    };
    lines.add_all_late(&run_config(parsed, seed, &all_late));
    if parsed == ConfigPolicy::Default {
        lines.add_size_sweep(seed);
    }
    lines.lines
}

/// Runs one simulation and returns its figures.
pub fn run_config(policy: ConfigPolicy, seed: u64, scenario: &ConfigScenario) -> ConfigReport {
    Simulation::new(policy, seed, scenario.clone()).run()
}

struct FigureLines<'a> {
    policy: &'a str,
    seed: u64,
    lines: Vec<MeasureLine>,
}

impl FigureLines<'_> {
    fn push(&mut self, figure: impl Into<Box<str>>, value: f64, unit: &'static str) {
        self.lines.push(MeasureLine {
            measure: MEASURE,
            policy: self.policy.into(),
            seed: self.seed,
            figure: figure.into(),
            value,
            unit,
        });
    }

    fn add_without_faults(&mut self, report: &ConfigReport) {
        self.push("in_force_ms", millis(report.worst_in_force()), "ms");
        self.push("in_force_ms_median", millis(report.median_in_force()), "ms");
        self.push("edits", f64::from(report.edits), "edits");
        self.push("never_in_force", f64::from(report.never_in_force), "edits");
        self.push("store_calls_per_s", report.store_calls_per_s(), "calls/s");
    }

    fn add_with_faults(&mut self, report: &ConfigReport) {
        self.push("reverts", f64::from(report.reverts), "reverts");
        self.push("faults", f64::from(report.faults), "faults");
        self.push("edits_with_faults", f64::from(report.edits), "edits");
        let missing = f64::from(report.not_converged);
        self.push("behind_at_end", missing, "daemons");
        let worst = millis(report.worst_in_force());
        self.push("in_force_ms_with_faults", worst, "ms");
        let calls = report.store_calls_per_s();
        self.push("store_calls_per_s_with_faults", calls, "calls/s");
    }

    fn add_all_late(&mut self, report: &ConfigReport) {
        let worst = millis(report.worst_in_force());
        self.push("in_force_ms_all_late", worst, "ms");
        let median = millis(report.median_in_force());
        self.push("in_force_ms_all_late_median", median, "ms");
    }

    fn add_size_sweep(&mut self, seed: u64) {
        let defaults = ConfigScenario {
            edits: SWEEP_EDITS,
            ..ConfigScenario::default()
        };
        for members in SWEEP_MEMBERS {
            let scenario = ConfigScenario {
                members,
                ..defaults.clone()
            };
            let report = run_config(ConfigPolicy::Default, seed, &scenario);
            let name = |figure| format!("{figure}_members_{members}");
            self.push(
                name("store_calls_per_s"),
                report.store_calls_per_s(),
                "calls/s",
            );
            self.push(
                name("notice_bytes_per_edit"),
                report.notice_bytes_per_edit(),
                "B",
            );
            self.push(name("in_force_ms"), millis(report.worst_in_force()), "ms");
        }
        for services in SWEEP_SERVICES {
            let scenario = ConfigScenario {
                services,
                ..defaults.clone()
            };
            let report = run_config(ConfigPolicy::Default, seed, &scenario);
            let name = |figure| format!("{figure}_services_{services}");
            self.push(name("document_bytes"), report.document_bytes as f64, "B");
            self.push(
                name("store_calls_per_s"),
                report.store_calls_per_s(),
                "calls/s",
            );
            self.push(
                name("pull_bytes_per_edit"),
                report.pull_bytes_per_edit(),
                "B",
            );
            let bytes = report.platform_bytes_per_s_per_daemon();
            self.push(name("platform_bytes_per_s_per_daemon"), bytes, "B/s");
        }
    }
}

fn millis(d: Duration) -> f64 {
    d.as_secs_f64() * 1_000.0
}
