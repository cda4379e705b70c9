use std::collections::HashMap;
use std::time::Duration;

use zinniadrift_core::gateway::{AttemptId, AttemptResult, GatewayEvent};
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::units::MonoTime;

use super::event::{Attempt, AttemptFault, Event, GatewayInstance};
use super::event_queue::EventQueue;
use super::latency::ZONE_LATENCY;
use super::{Callers, FakeTarget, RunVariation, SimulationSettings, user};

/// The simulated targets and the runs that they execute.
#[derive(Debug)]
pub struct FakeTargets {
    /// The targets.
    pub targets: Vec<FakeTarget>,
    runs: HashMap<u64, Run>,
    by_attempt: HashMap<(GatewayInstance, AttemptId), u64>,
    last_run: u64,
    last_completed: Option<(usize, AttemptId)>,
    seed: u64,
    variation: RunVariation,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    attempt: Attempt,
    target: usize,
    operation: usize,
}

/// The time between the report that a connection makes no progress and its late response.
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(200);

impl FakeTargets {
    pub(super) fn new(cfg: &SimulationSettings) -> Self {
        let mut fake_targets = Self {
            targets: Vec::new(),
            runs: HashMap::new(),
            by_attempt: HashMap::new(),
            last_run: 0,
            last_completed: None,
            seed: cfg.seed,
            variation: cfg.variation,
        };
        for _ in 0..cfg.targets {
            fake_targets.add(MonoTime::default(), cfg);
        }
        fake_targets
    }

    pub(super) fn add(&mut self, now: MonoTime, cfg: &SimulationSettings) {
        let i = self.targets.len();
        let slots = usize::from(cfg.slots);
        let target = FakeTarget::new(user::target_id(i), user::zone(i), slots, now);
        self.targets.push(target);
    }

    pub(super) fn restart_target(&mut self, now: MonoTime, index: usize) {
        let target = &mut self.targets[index];
        target.draining = false;
        target.started = now;
    }

    pub(super) fn zone_of(&self, id: TargetId) -> Option<&zinniadrift_core::ids::ZoneName> {
        let target = self.targets.iter().find(|t| t.id == id)?;
        Some(&target.zone)
    }

    pub(super) fn on_attempt(
        &mut self,
        now: MonoTime,
        attempt: Attempt,
        callers: &mut Callers,
        queue: &mut EventQueue,
    ) {
        let refusal = match self.targets.iter().position(|t| t.id == attempt.target) {
            None => Err(AttemptResult::ConnectFailed),
            _ if attempt.fault == Some(AttemptFault::LostBefore) => {
                Err(AttemptResult::ConnectionLost)
            }
            Some(i) if self.targets[i].draining => Err(AttemptResult::RefusedBeforeStart),
            Some(i) if !self.targets[i].has_slot() => {
                Err(AttemptResult::Shed { retry_after: None })
            }
            Some(i) => Ok(i),
        };
        let target = match refusal {
            Ok(i) => i,
            Err(result) => return respond(queue, now + ZONE_LATENCY, &attempt, result),
        };
        self.last_run += 1;
        let run = self.last_run;
        let service_time = callers.jobs[callers.requests[attempt.request].job].service_time;
        let variation = self.variation.draw(self.seed ^ attempt.id.get());
        let service_time = service_time.mul_f64(variation);
        let end = self.targets[target].start(now, run, service_time);
        let operation = callers.record_run_start(attempt.request);
        self.runs.insert(
            run,
            Run {
                attempt,
                target,
                operation,
            },
        );
        self.by_attempt.insert((attempt.instance, attempt.id), run);
        queue.add(end, Event::RunEnds(run));
        if attempt.fault == Some(AttemptFault::LostAfter) {
            let result = AttemptResult::ConnectionLost;
            respond(queue, now + ZONE_LATENCY, &attempt, result);
        }
    }

    pub(super) fn on_cancel(
        &mut self,
        now: MonoTime,
        instance: GatewayInstance,
        id: AttemptId,
        callers: &mut Callers,
    ) {
        if let Some(run) = self.by_attempt.get(&(instance, id)).copied() {
            self.end_run(now, run, callers);
        }
    }

    pub(super) fn on_end(
        &mut self,
        now: MonoTime,
        run: u64,
        callers: &mut Callers,
        queue: &mut EventQueue,
    ) {
        let Some(Run { attempt, .. }) = self.end_run(now, run, callers) else {
            return;
        };
        let job = callers.requests[attempt.request].job;
        let complete = |job: usize, echo: AttemptId| AttemptResult::Complete {
            status: 200,
            body: Callers::body(job).into(),
            echo: Some(echo),
        };
        let at = now + ZONE_LATENCY;
        let swapped = self.last_completed.replace((job, attempt.id));
        match attempt.fault {
            Some(AttemptFault::LostBefore | AttemptFault::LostAfter) => {}
            Some(AttemptFault::Truncated) => {
                respond(queue, at, &attempt, AttemptResult::Truncated);
            }
            Some(AttemptFault::Late) => {
                respond(queue, at, &attempt, AttemptResult::NoProgress);
                respond(
                    queue,
                    at + LATE_RESPONSE_DELAY,
                    &attempt,
                    complete(job, attempt.id),
                );
            }
            Some(AttemptFault::Swapped) => {
                let (other, echo) = swapped.unwrap_or((job, attempt.id));
                respond(queue, at, &attempt, complete(other, echo));
            }
            None => respond(queue, at, &attempt, complete(job, attempt.id)),
        }
    }

    fn end_run(&mut self, now: MonoTime, run: u64, callers: &mut Callers) -> Option<Run> {
        let ended = self.runs.remove(&run)?;
        self.by_attempt
            .remove(&(ended.attempt.instance, ended.attempt.id));
        self.targets[ended.target].end(now, run);
        callers.record_run_end(ended.operation, ended.attempt.request);
        Some(ended)
    }
}

fn respond(queue: &mut EventQueue, at: MonoTime, attempt: &Attempt, result: AttemptResult) {
    let event = GatewayEvent::AttemptFinished {
        attempt: attempt.id,
        result,
    };
    queue.add(at, Event::Deliver(attempt.instance, event));
}
