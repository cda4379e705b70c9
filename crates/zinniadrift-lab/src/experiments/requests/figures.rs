use std::time::Duration;

use hdrhistogram::Histogram;

use super::{
    CallerOutcome, Faults, Job, Policy, RunVariation, Simulation, SimulationSettings, UnknownCause,
    WORKLOAD_START, Workload, ideal_queue,
};
use crate::experiments::{Experiment, MeasureLine};

/// Measures dispatch and claims under load, overload, changes and faults.
pub const EXPERIMENT: Experiment = Experiment {
    name: "requests",
    policies: Policy::NAMES,
    check_policy: crate::experiments::experiment::only_named,
    run,
};

/// The mean service time on a warm target.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// The mean service time of the runs that measure store writes. It is short enough for the targets
/// to serve 2,000 requests per second.
const SHORT_SERVICE_TIME: Duration = Duration::from_millis(8);
/// The time after the last arrival that open requests have to complete.
const COMPLETION_TIME: Duration = Duration::from_secs(15);
const SETTLE_TIME: Duration = Duration::from_secs(60);
const MEASURE_WINDOW: Duration = Duration::from_secs(120);

/// The load of the runs that measure slow responses, as a share of the slots. The targets hardly
/// ever refuse a request at this load, so that only the variation makes responses slow.
const TAIL_LOAD: f64 = 0.3;
const TAIL_SLOTS: u16 = 8;
/// The variations of routes whose 99th percentile is about ten times the median.
///
/// With `stalls`, few runs take much longer than all others. With `spread`, response times are
/// distributed without a gap.
const TAILS: &[(&str, RunVariation)] = &[
    (
        "stalls",
        RunVariation {
            stall_share: 0.015,
            stall_factor: 11.0,
            log_deviation: 0.15,
        },
    ),
    (
        "spread",
        RunVariation {
            stall_share: 0.0,
            stall_factor: 1.0,
            log_deviation: 0.99,
        },
    ),
];

struct Figures {
    policy: &'static str,
    seed: u64,
    lines: Vec<MeasureLine>,
}

fn run(policy: &str, seed: u64) -> Vec<MeasureLine> {
    let Some(parsed) = Policy::from_name(policy) else {
        return Vec::new();
    };
    let name = Policy::NAMES.iter().find(|n| **n == policy);
    let mut figures = Figures {
        policy: name.copied().unwrap_or_default(),
        seed,
        lines: Vec::new(),
    };
    let cfg = parsed.settings(seed);
    measure_faults(&cfg, &mut figures);
    measure_latency(&cfg, &mut figures);
    measure_balance(&cfg, &mut figures);
    measure_writes(&cfg, 100.0, &mut figures);
    // One object per claim needs more writes at these rates than the platform accepts. The backlog
    // would grow to thousands of shards, which the simulation cannot process in acceptable time.
    if parsed != Policy::Single {
        measure_overload(&cfg, &mut figures);
        measure_writes(&cfg, 2_000.0, &mut figures);
    }
    if matches!(parsed, Policy::Default | Policy::Hedged) {
        for (name, variation) in TAILS {
            measure_tail(name, *variation, &cfg, &mut figures);
        }
    }
    figures.lines
}

fn measure_faults(cfg: &SimulationSettings, figures: &mut Figures) {
    let secs = Duration::from_secs;
    let cfg = SimulationSettings {
        caller_retries: 4,
        faults: Faults {
            lost_write_answers: 0.02,
            lost_writes: 0.02,
            late_writes: 0.02,
            lost_connections: 0.004,
            truncated_responses: 0.002,
            swapped_responses: 0.002,
            late_responses: 0.002,
            paused_sends: 0.0005,
            kill_interval: Some(secs(5)),
            pause_interval: Some(secs(5)),
            outage_interval: Some(secs(30)),
            drain_interval: Some(secs(20)),
        },
        ..cfg.clone()
    };
    let workload = workload(0.5, &cfg, secs(120));
    let sim = run_to_completion(&cfg, workload);
    let requests = &sim.callers.requests;
    let doubled: u32 = sim
        .callers
        .jobs
        .iter()
        .zip(&sim.callers.runs)
        .filter(|(job, _)| !job.idempotent)
        .map(|(_, runs)| runs.saturating_sub(1))
        .sum();
    let count_outcome = |outcome: CallerOutcome| {
        requests
            .iter()
            .filter(|r| r.outcome == Some(outcome))
            .count()
    };
    let false_not_run = requests
        .iter()
        .filter(|r| r.runs > 0 && matches!(r.outcome, Some(CallerOutcome::NotRun(..))))
        .count();
    let multiple_answers = requests.iter().filter(|r| r.answers > 1).count();
    figures.add("doubled_runs", f64::from(doubled), "runs");
    figures.add("false_not_run", false_not_run as f64, "requests");
    let mixed_or_partial = count_outcome(CallerOutcome::WrongResponse) + multiple_answers;
    figures.add(
        "mixed_or_partial_answers",
        mixed_or_partial as f64,
        "requests",
    );
    report_unknown(&sim, figures);
}

/// Reports the share of callers that do not know whether their job ran, by the cause recorded for
/// their first request, and the share of jobs whose last request also left the outcome unknown.
fn report_unknown(sim: &Simulation, figures: &mut Figures) {
    let mut last = vec![None; sim.callers.jobs.len()];
    for r in &sim.callers.requests {
        last[r.job] = Some(r);
    }
    let firsts: Vec<_> = sim
        .callers
        .requests
        .iter()
        .filter(|r| r.retry == 0)
        .collect();
    let is_unknown = |outcome: Option<CallerOutcome>| {
        matches!(
            outcome,
            None | Some(CallerOutcome::Unknown(_) | CallerOutcome::NoAnswer)
        )
    };
    let total = firsts.len() as f64;
    for cause in UnknownCause::ALL {
        let n = firsts
            .iter()
            .filter(|r| is_unknown(r.outcome) && r.cause == Some(cause))
            .count();
        let figure = format!("unknown_share_{}", cause.name());
        figures.add(&figure, n as f64 / total, "share of requests");
    }
    let unresolved = last
        .iter()
        .flatten()
        .filter(|r| is_unknown(r.outcome))
        .count();
    let share = unresolved as f64 / total;
    figures.add("unknown_share_after_retries", share, "share of work");
    let is_gateway_death = |r: &&&super::Request| r.cause == Some(UnknownCause::GatewayDeath);
    let affected: Vec<_> = firsts.iter().filter(is_gateway_death).collect();
    let still_unknown = affected
        .iter()
        .filter(|r| last[r.job].is_some_and(|l| is_unknown(l.outcome)))
        .count();
    let share = still_unknown as f64 / affected.len().max(1) as f64;
    figures.add(
        "unknown_share_of_gateway_deaths_after_retries",
        share,
        "share of work hit",
    );
}

fn measure_latency(cfg: &SimulationSettings, figures: &mut Figures) {
    let workload = workload(0.8, cfg, Duration::from_secs(120));
    let sim = run_to_completion(cfg, workload);
    let measured = p99(done_times(&sim));
    let slots = cfg.targets * usize::from(cfg.slots);
    let ideal = p99(ideal_queue(&sim.callers.jobs, slots).into_iter());
    figures.add("p99_ratio", measured / ideal, "ratio");
    figures.add("p99_ms", measured, "ms");
    figures.add("done_share_at_80", done_share(&sim), "share of requests");
}

fn measure_overload(cfg: &SimulationSettings, figures: &mut Figures) {
    let duration = Duration::from_secs(60);
    let mut sim = Simulation::new(cfg.clone(), workload(2.0, cfg, duration).draw(cfg.seed));
    sim.run_until(WORKLOAD_START + duration);
    let done = done_times(&sim).count() as f64;
    let capacity = rate(1.0, cfg) * duration.as_secs_f64();
    figures.add("goodput_at_2x", done / capacity, "share of capacity");
    let given_up = sim
        .callers
        .requests
        .iter()
        .filter(|r| matches!(r.outcome, Some(CallerOutcome::NotRun(..))));
    let waits = given_up.filter_map(|r| Some(r.ended_at?.since(r.arrived_at)));
    figures.add("wait_before_give_up_p99_ms", p99(waits), "ms");
    let worst = sim.max_give_up_delay.as_secs_f64() * 1_000.0;
    figures.add("give_up_to_answer_ms", worst, "ms");
}

fn measure_balance(cfg: &SimulationSettings, figures: &mut Figures) {
    let total = SETTLE_TIME * 3 + MEASURE_WINDOW * 3;
    // Claims hardly affect the balance; a small share of claims keeps the simulated shards small.
    let workload = Workload {
        non_idempotent: 0.1,
        ..workload(0.6, cfg, total)
    };
    let jobs = workload.draw(cfg.seed);
    let mut sim = Simulation::new(cfg.clone(), jobs);
    sim.run_until(WORKLOAD_START + SETTLE_TIME);
    let rest = imbalance_over(&mut sim, MEASURE_WINDOW);
    figures.add("imbalance_rest_slots", rest, "max/mean");
    sim.add_target();
    let at = sim.now() + SETTLE_TIME;
    sim.run_until(at);
    let joined = imbalance_over(&mut sim, MEASURE_WINDOW);
    sim.drain_target(0);
    let at = sim.now() + SETTLE_TIME;
    sim.run_until(at);
    let left = imbalance_over(&mut sim, MEASURE_WINDOW);
    figures.add("imbalance_after_change_slots", joined.max(left), "max/mean");
}

/// Measures the response times of idempotent requests whose runs vary by `variation`, and the work
/// that they cause.
fn measure_tail(
    name: &str,
    variation: RunVariation,
    cfg: &SimulationSettings,
    figures: &mut Figures,
) {
    let cfg = SimulationSettings {
        slots: TAIL_SLOTS,
        variation,
        caller_timeout: COMPLETION_TIME,
        ..cfg.clone()
    };
    let workload = workload(TAIL_LOAD, &cfg, MEASURE_WINDOW);
    let mut jobs = workload.draw(cfg.seed);
    jobs.iter_mut().for_each(|j| j.service_time = SERVICE_TIME);
    let mut sim = Simulation::new(cfg, jobs);
    sim.run_until(WORKLOAD_START + workload.duration + COMPLETION_TIME);
    let now = sim.now();
    let targets = sim.fake_targets.targets.iter_mut();
    let busy: Duration = targets.map(|t| t.take_busy_time(now)).sum();
    let callers = &sim.callers;
    let done = callers
        .requests
        .iter()
        .filter(|r| r.outcome == Some(CallerOutcome::Done) && callers.jobs[r.job].idempotent)
        .filter_map(|r| Some(r.ended_at?.since(r.arrived_at)));
    let done: Vec<Duration> = done.collect();
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
        let value = percentile(done.iter().copied(), quantile);
        figures.add(&format!("{name}_{label}_ms"), value, "ms");
    }
    let requests = callers.requests.len() as f64;
    let runs: u32 = callers.requests.iter().map(|r| r.runs).sum();
    let extra = (f64::from(runs) / requests - 1.0) * 100.0;
    figures.add(&format!("{name}_extra_runs"), extra, "percent of requests");
    let work = busy.as_secs_f64() * 1_000.0 / requests;
    figures.add(&format!("{name}_work_per_request"), work, "ms");
}

fn measure_writes(cfg: &SimulationSettings, rate: f64, figures: &mut Figures) {
    let workload = Workload {
        rate,
        duration: Duration::from_secs(15),
        non_idempotent: 1.0,
        service_time: SHORT_SERVICE_TIME,
    };
    let sim = run_to_completion(cfg, workload);
    let per_request = sim.store.writes as f64 / sim.callers.jobs.len() as f64;
    let figure = format!("store_writes_per_request_{rate}");
    figures.add(&figure, per_request, "writes");
    let figure = format!("done_share_{rate}");
    figures.add(&figure, done_share(&sim), "share of requests");
    let figure = format!("claimed_p99_ms_{rate}");
    figures.add(&figure, p99(done_times(&sim)), "ms");
}

impl Figures {
    fn add(&mut self, figure: &str, value: f64, unit: &'static str) {
        self.lines.push(MeasureLine {
            measure: EXPERIMENT.name,
            policy: self.policy.into(),
            seed: self.seed,
            figure: figure.into(),
            value,
            unit,
        });
    }
}

/// Returns the arrival rate, per second, that keeps the given share of all slots busy.
fn rate(share: f64, cfg: &SimulationSettings) -> f64 {
    let slots = cfg.targets as f64 * f64::from(cfg.slots);
    share * slots / SERVICE_TIME.as_secs_f64()
}

fn workload(share: f64, cfg: &SimulationSettings, duration: Duration) -> Workload {
    Workload {
        rate: rate(share, cfg),
        duration,
        non_idempotent: 0.5,
        service_time: SERVICE_TIME,
    }
}

fn run_to_completion(cfg: &SimulationSettings, workload: Workload) -> Simulation {
    let jobs: Vec<Job> = workload.draw(cfg.seed);
    let mut sim = Simulation::new(cfg.clone(), jobs);
    sim.run_until(WORKLOAD_START + workload.duration + COMPLETION_TIME);
    sim
}

fn done_times(sim: &Simulation) -> impl Iterator<Item = Duration> {
    let done = sim
        .callers
        .requests
        .iter()
        .filter(|r| r.outcome == Some(CallerOutcome::Done));
    done.filter_map(|r| Some(r.ended_at?.since(r.arrived_at)))
}

fn done_share(sim: &Simulation) -> f64 {
    done_times(sim).count() as f64 / sim.callers.jobs.len() as f64
}

/// Returns the 99th percentile in milliseconds.
fn p99(times: impl Iterator<Item = Duration>) -> f64 {
    percentile(times, 0.99)
}

/// Returns a quantile in milliseconds.
fn percentile(times: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    const PRECISION: u8 = 3;
    let Ok(mut histogram) = Histogram::<u64>::new(PRECISION) else {
        return 0.0;
    };
    for t in times {
        let _ = histogram.record(u64::try_from(t.as_micros()).unwrap_or(u64::MAX));
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Returns the maximum divided by the mean of the slot time that the targets in service use during
/// `window`.
fn imbalance_over(sim: &mut Simulation, window: Duration) -> f64 {
    let now = sim.now();
    for t in &mut sim.fake_targets.targets {
        t.take_busy_time(now);
    }
    sim.run_until(now + window);
    let now = sim.now();
    let targets = sim.fake_targets.targets.iter_mut();
    let busy: Vec<f64> = targets
        .filter(|t| !t.draining)
        .map(|t| t.take_busy_time(now).as_secs_f64())
        .collect();
    let mean = busy.iter().sum::<f64>() / busy.len() as f64;
    busy.iter().copied().fold(0.0, f64::max) / mean
}
