//! Experiment on the cost of the core at several sizes, for the capacity plan.

mod idle_group;
mod line_fit;
mod loaded_balancer;
mod resident_memory;
mod synthetic_catalog;

use std::hint::black_box;
use std::time::Instant;

use super::report::Report;
use super::{Experiment, MeasureLine};
use idle_group::IdleGroup;
use line_fit::LineFit;
use loaded_balancer::LoadedBalancer;
use resident_memory::resident_bytes;
use synthetic_catalog::SyntheticCatalog;
use zinniadrift_core::placement::MaglevTable;
use zinniadrift_core::units::Weight;

/// Measures processor time, memory and control bytes per unit of work.
///
/// Times are wall-clock times. Times and the resident memory differ between runs; all other figures
/// depend on the seed only.
pub(crate) const EXPERIMENT: Experiment = Experiment {
    name: "cost",
    policies: &["default"],
    check_policy: super::experiment::only_named,
    run: measure,
};

/// The numbers of flows at which the cost is measured.
const FLOW_COUNTS: [usize; 4] = [10_000, 100_000, 300_000, 1_000_000];
/// The numbers of targets at which the cost is measured.
const TARGET_COUNTS: [usize; 4] = [4, 40, 130, 400];
/// The numbers of services at which the cost is measured.
const SERVICE_COUNTS: [usize; 4] = [4, 40, 130, 400];
/// The numbers of balancers at which the cost is measured.
const MEMBER_COUNTS: [usize; 4] = [4, 8, 12, 16];

/// The number of flows in the runs that vary the number of targets or services.
const FIXED_FLOW_COUNT: usize = 100_000;
/// The number of targets per service in the runs that do not vary it.
const FIXED_TARGET_COUNT: usize = 15;
/// The number of repetitions of a timing. The median is reported, because other processes on the
/// host disturb single timings.
const REPETITIONS: usize = 5;

fn measure(policy: &str, seed: u64) -> Vec<MeasureLine> {
    let mut cost = Cost {
        report: Report::new("cost", policy, seed),
        seed,
    };
    cost.measure_over_flows();
    cost.measure_over_targets();
    cost.measure_over_services();
    cost.measure_over_members();
    cost.report.finish()
}

/// The figures collected so far and the seed of the runs.
struct Cost {
    report: Report,
    seed: u64,
}

impl Cost {
    fn measure_over_flows(&mut self) {
        let mut known = Vec::new();
        let mut new = Vec::new();
        let mut bytes = Vec::new();
        // The balancers stay allocated. Otherwise a larger one would reuse freed memory and the
        // growth of the resident memory would be too small.
        let mut retained = Vec::new();
        for flows in FLOW_COUNTS {
            let catalog = SyntheticCatalog::new(1, FIXED_TARGET_COUNT);
            let mut balancer = LoadedBalancer::start(catalog, self.seed);
            let before = resident_bytes();
            balancer.open_flows(flows);
            let grown = resident_bytes().saturating_sub(before);
            bytes.push((flows, grown as f64 / flows as f64));
            known.push((flows, balancer.ns_per_known_packet()));
            new.push((flows, balancer.ns_per_new_packet()));
            retained.push(balancer);
        }
        self.report_series("core_ns_per_packet_known", "flows", &known, "ns");
        self.report_series("core_ns_per_packet_new", "flows", &new, "ns");
        self.report_series("bytes_per_flow", "flows", &bytes, "bytes");
    }

    fn measure_over_targets(&mut self) {
        let mut known = Vec::new();
        let mut new = Vec::new();
        let mut build = Vec::new();
        for targets in TARGET_COUNTS {
            let catalog = SyntheticCatalog::new(1, targets);
            let mut balancer = LoadedBalancer::start(catalog, self.seed);
            balancer.open_flows(FIXED_FLOW_COUNT);
            known.push((targets, balancer.ns_per_known_packet()));
            new.push((targets, balancer.ns_per_new_packet()));
            build.push((targets, table_build_ns(targets)));
        }
        self.report_series("core_ns_per_packet_known", "targets", &known, "ns");
        self.report_series("core_ns_per_packet_new", "targets", &new, "ns");
        self.report_series("table_build_ns", "targets", &build, "ns");
    }

    fn measure_over_services(&mut self) {
        let mut known = Vec::new();
        let mut new = Vec::new();
        let mut install = Vec::new();
        let mut bytes = Vec::new();
        let mut retained = Vec::new();
        for services in SERVICE_COUNTS {
            let catalog = SyntheticCatalog::new(services, FIXED_TARGET_COUNT);
            let before = resident_bytes();
            let mut balancer = LoadedBalancer::start(catalog, self.seed);
            let grown = resident_bytes().saturating_sub(before);
            bytes.push((services, grown as f64 / services as f64));
            install.push((services, balancer.ns_per_settings_install()));
            balancer.open_flows(FIXED_FLOW_COUNT);
            known.push((services, balancer.ns_per_known_packet()));
            new.push((services, balancer.ns_per_new_packet()));
            retained.push(balancer);
        }
        self.report_series("core_ns_per_packet_known", "services", &known, "ns");
        self.report_series("core_ns_per_packet_new", "services", &new, "ns");
        self.report_series("settings_install_ns", "services", &install, "ns");
        self.report_series("bytes_per_service", "services", &bytes, "bytes");
    }

    fn measure_over_members(&mut self) {
        let mut heartbeat = Vec::new();
        let mut control = Vec::new();
        let mut idle = Vec::new();
        for members in MEMBER_COUNTS {
            let catalog = SyntheticCatalog::new(2, FIXED_TARGET_COUNT);
            let mut group = IdleGroup::start(&catalog, members, self.seed);
            let cost = group.run();
            heartbeat.push((members, cost.bytes_per_message));
            control.push((members, cost.control_bytes_per_s));
            idle.push((members, cost.ns_per_s));
        }
        self.report_series("heartbeat_bytes", "members", &heartbeat, "bytes");
        let figure = "idle_control_bytes_per_s";
        self.report_series(figure, "members", &control, "bytes/s");
        self.report_series("idle_core_ns_per_s", "members", &idle, "ns/s");
    }

    /// Reports a figure for each size, and the slope and intercept of a line fitted to them.
    fn report_series(
        &mut self,
        figure: &str,
        over: &str,
        points: &[(usize, f64)],
        unit: &'static str,
    ) {
        for (size, value) in points {
            let name = format!("{figure}_{over}_{size}");
            self.report.add(&name, *value, unit);
        }
        let fit = LineFit::of(points);
        let slope = format!("{figure}_{over}_slope");
        self.report.add(&slope, fit.slope, unit);
        let intercept = format!("{figure}_{over}_intercept");
        self.report.add(&intercept, fit.intercept, unit);
    }
}

fn table_build_ns(targets: usize) -> f64 {
    let names = (0..targets).map(|i| (format!("target-{i}").into(), Weight::default()));
    let named: Vec<(Box<str>, Weight)> = names.collect();
    median_ns(|| {
        black_box(MaglevTable::build(&named));
    })
}

/// Returns the median wall-clock time of [`REPETITIONS`] calls, in nanoseconds.
fn median_ns(mut f: impl FnMut()) -> f64 {
    let mut times = [0.0; REPETITIONS];
    for time in &mut times {
        let start = Instant::now();
        f();
        *time = start.elapsed().as_nanos() as f64;
    }
    times.sort_by(f64::total_cmp);
    times[REPETITIONS / 2]
}
