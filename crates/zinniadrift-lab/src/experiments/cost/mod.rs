//! Measures what the core costs over several sizes, for the capacity plan.

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
/// Times are wall-clock times and differ between runs; everything else depends on the seed only,
/// apart from the resident memory.
pub(crate) const EXPERIMENT: Experiment = Experiment {
    name: "cost",
    policies: &["default"],
    run: measure,
};

const FLOWS: [usize; 4] = [10_000, 100_000, 300_000, 1_000_000];
const TARGETS: [usize; 4] = [4, 40, 130, 400];
const SERVICES: [usize; 4] = [4, 40, 130, 400];
const MEMBERS: [usize; 4] = [4, 8, 12, 16];

/// Flows in the runs over the number of targets or services.
const FIXED_FLOWS: usize = 100_000;
const FIXED_TARGETS: usize = 15;
/// Repetitions of a timing; the median counts, since the machine is shared.
const REPETITIONS: usize = 5;

fn measure(policy: &str, seed: u64) -> Vec<MeasureLine> {
    let mut cost = Cost {
        report: Report::new("cost", policy, seed),
        seed,
    };
    cost.over_flows();
    cost.over_targets();
    cost.over_services();
    cost.over_members();
    cost.report.finish()
}

struct Cost {
    report: Report,
    seed: u64,
}

impl Cost {
    fn over_flows(&mut self) {
        let mut known = Vec::new();
        let mut new = Vec::new();
        let mut bytes = Vec::new();
        // Loaded balancers are kept, so that a later size does not reuse freed memory.
        let mut kept = Vec::new();
        for flows in FLOWS {
            let catalog = SyntheticCatalog::new(1, FIXED_TARGETS);
            let mut balancer = LoadedBalancer::start(catalog, self.seed);
            let before = resident_bytes();
            balancer.open(flows);
            let grown = resident_bytes().saturating_sub(before);
            bytes.push((flows, grown as f64 / flows as f64));
            known.push((flows, balancer.ns_per_known_packet()));
            new.push((flows, balancer.ns_per_new_packet()));
            kept.push(balancer);
        }
        self.series("core_ns_per_packet_known", "flows", &known, "ns");
        self.series("core_ns_per_packet_new", "flows", &new, "ns");
        self.series("bytes_per_flow", "flows", &bytes, "bytes");
    }

    fn over_targets(&mut self) {
        let mut known = Vec::new();
        let mut new = Vec::new();
        let mut build = Vec::new();
        for targets in TARGETS {
            let catalog = SyntheticCatalog::new(1, targets);
            let mut balancer = LoadedBalancer::start(catalog, self.seed);
            balancer.open(FIXED_FLOWS);
            known.push((targets, balancer.ns_per_known_packet()));
            new.push((targets, balancer.ns_per_new_packet()));
            build.push((targets, table_build_ns(targets)));
        }
        self.series("core_ns_per_packet_known", "targets", &known, "ns");
        self.series("core_ns_per_packet_new", "targets", &new, "ns");
        self.series("table_build_ns", "targets", &build, "ns");
    }

    fn over_services(&mut self) {
        let mut known = Vec::new();
        let mut new = Vec::new();
        let mut install = Vec::new();
        let mut bytes = Vec::new();
        let mut kept = Vec::new();
        for services in SERVICES {
            let catalog = SyntheticCatalog::new(services, FIXED_TARGETS);
            let before = resident_bytes();
            let mut balancer = LoadedBalancer::start(catalog, self.seed);
            let grown = resident_bytes().saturating_sub(before);
            bytes.push((services, grown as f64 / services as f64));
            install.push((services, balancer.settings_ns()));
            balancer.open(FIXED_FLOWS);
            known.push((services, balancer.ns_per_known_packet()));
            new.push((services, balancer.ns_per_new_packet()));
            kept.push(balancer);
        }
        self.series("core_ns_per_packet_known", "services", &known, "ns");
        self.series("core_ns_per_packet_new", "services", &new, "ns");
        self.series("settings_install_ns", "services", &install, "ns");
        self.series("bytes_per_service", "services", &bytes, "bytes");
    }

    fn over_members(&mut self) {
        let mut heartbeat = Vec::new();
        let mut control = Vec::new();
        let mut idle = Vec::new();
        for members in MEMBERS {
            let catalog = SyntheticCatalog::new(2, FIXED_TARGETS);
            let mut group = IdleGroup::start(&catalog, members, self.seed);
            let second = group.run();
            heartbeat.push((members, second.bytes_per_message));
            control.push((members, second.control_bytes_per_s));
            idle.push((members, second.ns_per_s));
        }
        self.series("heartbeat_bytes", "members", &heartbeat, "bytes");
        let figure = "idle_control_bytes_per_s";
        self.series(figure, "members", &control, "bytes/s");
        self.series("idle_core_ns_per_s", "members", &idle, "ns/s");
    }

    /// Reports a figure per size and the fitted line.
    fn series(&mut self, figure: &str, over: &str, points: &[(usize, f64)], unit: &'static str) {
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

/// Returns the median time of several runs in nanoseconds.
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
