use std::time::Duration;

use hdrhistogram::Histogram;

use super::{Cause, Ending, Faults, Load, Policy, START, Work, World, WorldSettings, ideal_queue};
use crate::experiments::{Experiment, MeasureLine};

/// Measures dispatch and claims under load, overload, changes and faults.
pub const EXPERIMENT: Experiment = Experiment {
    name: "requests",
    policies: Policy::NAMES,
    run,
};

/// The mean time that work takes on a warm target.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// The shorter time in the runs that measure store writes, so that 2,000 requests per second fit.
const SHORT_SERVICE_TIME: Duration = Duration::from_millis(8);
/// The time that is left to open requests after the last arrival.
const TAIL: Duration = Duration::from_secs(15);
const SETTLE: Duration = Duration::from_secs(60);
const WINDOW: Duration = Duration::from_secs(120);

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
    measure_overload(&cfg, &mut figures);
    measure_balance(&cfg, &mut figures);
    measure_writes(&cfg, 100.0, &mut figures);
    measure_writes(&cfg, 2_000.0, &mut figures);
    figures.lines
}

fn measure_faults(cfg: &WorldSettings, figures: &mut Figures) {
    let secs = Duration::from_secs;
    let cfg = WorldSettings {
        caller_retries: 4,
        faults: Faults {
            lost_answers: 0.02,
            lost_writes: 0.02,
            late_writes: 0.02,
            lost_connections: 0.004,
            truncated: 0.002,
            swapped: 0.002,
            late: 0.002,
            frozen_sends: 0.0005,
            kill_every: Some(secs(5)),
            pause_every: Some(secs(5)),
            outage_every: Some(secs(30)),
            drain_every: Some(secs(20)),
        },
        ..cfg.clone()
    };
    let load = load(0.5, &cfg, secs(120));
    let world = finish(&cfg, load);
    let asks = &world.callers.asks;
    let doubled: u32 = world
        .callers
        .work
        .iter()
        .zip(&world.callers.runs)
        .filter(|(w, _)| !w.idempotent)
        .map(|(_, runs)| runs.saturating_sub(1))
        .sum();
    let wrong = |e: Ending| asks.iter().filter(|a| a.ending == Some(e)).count();
    let false_not_run = asks
        .iter()
        .filter(|a| a.runs > 0 && matches!(a.ending, Some(Ending::NotRun(..))))
        .count();
    let twice = asks.iter().filter(|a| a.answers > 1).count();
    figures.add("doubled_runs", f64::from(doubled), "runs");
    figures.add("false_not_run", false_not_run as f64, "requests");
    let mixed = wrong(Ending::WrongResponse) + twice;
    figures.add("mixed_or_partial_answers", mixed as f64, "requests");
    report_unknown(&world, figures);
}

/// Reports how many callers do not know the outcome, by cause of their last request.
fn report_unknown(world: &World, figures: &mut Figures) {
    let mut last = vec![None; world.callers.work.len()];
    for a in &world.callers.asks {
        last[a.work] = Some(a);
    }
    let firsts: Vec<_> = world
        .callers
        .asks
        .iter()
        .filter(|a| a.earlier == 0)
        .collect();
    let is_unknown =
        |e: Option<Ending>| matches!(e, None | Some(Ending::Unknown(_) | Ending::NoAnswer));
    let total = firsts.len() as f64;
    for cause in Cause::ALL {
        let n = firsts
            .iter()
            .filter(|a| is_unknown(a.ending) && a.cause == Some(cause))
            .count();
        let figure = format!("unknown_share_{}", cause.name());
        figures.add(&figure, n as f64 / total, "share of requests");
    }
    let unresolved = last
        .iter()
        .flatten()
        .filter(|a| is_unknown(a.ending))
        .count();
    let share = unresolved as f64 / total;
    figures.add("unknown_share_after_retries", share, "share of work");
    let death = |a: &&&super::Ask| a.cause == Some(Cause::GatewayDeath);
    let hit: Vec<_> = firsts.iter().filter(death).collect();
    let lost = hit
        .iter()
        .filter(|a| last[a.work].is_some_and(|l| is_unknown(l.ending)))
        .count();
    let share = lost as f64 / hit.len().max(1) as f64;
    figures.add(
        "unknown_share_of_gateway_deaths_after_retries",
        share,
        "share of work hit",
    );
}

fn measure_latency(cfg: &WorldSettings, figures: &mut Figures) {
    let load = load(0.8, cfg, Duration::from_secs(120));
    let world = finish(cfg, load);
    let ours = p99(done_times(&world));
    let slots = cfg.targets * usize::from(cfg.slots);
    let ideal = p99(ideal_queue(&world.callers.work, slots).into_iter());
    figures.add("p99_ratio", ours / ideal, "ratio");
    figures.add("p99_ms", ours, "ms");
    figures.add("done_share_at_80", done_share(&world), "share of requests");
}

fn measure_overload(cfg: &WorldSettings, figures: &mut Figures) {
    let duration = Duration::from_secs(60);
    let mut world = World::new(cfg.clone(), load(2.0, cfg, duration).draw(cfg.seed));
    world.run_until(START + duration);
    let done = done_times(&world).count() as f64;
    let capacity = rate(1.0, cfg) * duration.as_secs_f64();
    figures.add("goodput_at_2x", done / capacity, "share of capacity");
    let given_up = world
        .callers
        .asks
        .iter()
        .filter(|a| matches!(a.ending, Some(Ending::NotRun(..))));
    let waits = given_up.filter_map(|a| Some(a.ended?.since(a.arrived)));
    figures.add("wait_before_give_up_p99_ms", p99(waits), "ms");
    let worst = world.give_up_delay.as_secs_f64() * 1_000.0;
    figures.add("give_up_to_answer_ms", worst, "ms");
}

fn measure_balance(cfg: &WorldSettings, figures: &mut Figures) {
    let total = SETTLE * 3 + WINDOW * 3;
    // Claims hardly matter here, and few of them keep the shards of the simulation small.
    let load = Load {
        non_idempotent: 0.1,
        ..load(0.6, cfg, total)
    };
    let work = load.draw(cfg.seed);
    let mut world = World::new(cfg.clone(), work);
    world.run_until(START + SETTLE);
    let rest = imbalance_over(&mut world, WINDOW);
    figures.add("imbalance_rest_slots", rest, "max/mean");
    world.add_target();
    let at = world.now() + SETTLE;
    world.run_until(at);
    let joined = imbalance_over(&mut world, WINDOW);
    world.drain_target(0);
    let at = world.now() + SETTLE;
    world.run_until(at);
    let left = imbalance_over(&mut world, WINDOW);
    figures.add("imbalance_after_change_slots", joined.max(left), "max/mean");
}

fn measure_writes(cfg: &WorldSettings, rate: f64, figures: &mut Figures) {
    let load = Load {
        rate,
        duration: Duration::from_secs(15),
        non_idempotent: 1.0,
        service_time: SHORT_SERVICE_TIME,
    };
    let world = finish(cfg, load);
    let per_request = world.store.writes as f64 / world.callers.work.len() as f64;
    let figure = format!("store_writes_per_request_{rate}");
    figures.add(&figure, per_request, "writes");
    let figure = format!("done_share_{rate}");
    figures.add(&figure, done_share(&world), "share of requests");
    let figure = format!("claimed_p99_ms_{rate}");
    figures.add(&figure, p99(done_times(&world)), "ms");
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

/// Returns the arrivals per second that keep the given share of all slots busy.
fn rate(share: f64, cfg: &WorldSettings) -> f64 {
    let slots = cfg.targets as f64 * f64::from(cfg.slots);
    share * slots / SERVICE_TIME.as_secs_f64()
}

fn load(share: f64, cfg: &WorldSettings, duration: Duration) -> Load {
    Load {
        rate: rate(share, cfg),
        duration,
        non_idempotent: 0.5,
        service_time: SERVICE_TIME,
    }
}

fn finish(cfg: &WorldSettings, load: Load) -> World {
    let work: Vec<Work> = load.draw(cfg.seed);
    let mut world = World::new(cfg.clone(), work);
    world.run_until(START + load.duration + TAIL);
    world
}

fn done_times(world: &World) -> impl Iterator<Item = Duration> {
    let done = world
        .callers
        .asks
        .iter()
        .filter(|a| a.ending == Some(Ending::Done));
    done.filter_map(|a| Some(a.ended?.since(a.arrived)))
}

fn done_share(world: &World) -> f64 {
    done_times(world).count() as f64 / world.callers.work.len() as f64
}

/// Returns the 99th percentile in milliseconds.
fn p99(times: impl Iterator<Item = Duration>) -> f64 {
    const PRECISION: u8 = 3;
    let Ok(mut histogram) = Histogram::<u64>::new(PRECISION) else {
        return 0.0;
    };
    for t in times {
        let _ = histogram.record(u64::try_from(t.as_micros()).unwrap_or(u64::MAX));
    }
    histogram.value_at_quantile(0.99) as f64 / 1_000.0
}

/// Returns the maximum over the mean of busy slots of the targets in service.
fn imbalance_over(world: &mut World, window: Duration) -> f64 {
    let now = world.now();
    for t in &mut world.backends.targets {
        t.take_busy_time(now);
    }
    world.run_until(now + window);
    let now = world.now();
    let targets = world.backends.targets.iter_mut();
    let busy: Vec<f64> = targets
        .filter(|t| !t.draining)
        .map(|t| t.take_busy_time(now).as_secs_f64())
        .collect();
    let mean = busy.iter().sum::<f64>() / busy.len() as f64;
    busy.iter().copied().fold(0.0, f64::max) / mean
}
