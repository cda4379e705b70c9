use std::collections::HashMap;
use std::time::Duration;

use zinniadrift_core::gateway::{AttemptId, AttemptResult, GatewayEvent};
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::units::MonoTime;

use super::event::{Attempt, AttemptFault, Event, Origin};
use super::latency::ZONE_LATENCY;
use super::schedule::Schedule;
use super::{Callers, FakeTarget, WorldSettings, user};

/// Runs the work that gateways send to targets.
#[derive(Debug)]
pub struct Backends {
    /// The targets.
    pub targets: Vec<FakeTarget>,
    runs: HashMap<u64, Run>,
    by_attempt: HashMap<(Origin, AttemptId), u64>,
    last_run: u64,
    last_work: Option<(usize, AttemptId)>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    attempt: Attempt,
    target: usize,
    operation: usize,
}

/// The time by which a late response comes after its connection was given up on.
const LATE_RESPONSE: Duration = Duration::from_millis(200);

impl Backends {
    pub(super) fn new(cfg: &WorldSettings) -> Self {
        let mut backends = Self {
            targets: Vec::new(),
            runs: HashMap::new(),
            by_attempt: HashMap::new(),
            last_run: 0,
            last_work: None,
        };
        for _ in 0..cfg.targets {
            backends.add(MonoTime::default(), cfg);
        }
        backends
    }

    pub(super) fn add(&mut self, now: MonoTime, cfg: &WorldSettings) {
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
        schedule: &mut Schedule,
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
            Err(result) => return respond(schedule, now + ZONE_LATENCY, &attempt, result),
        };
        self.last_run += 1;
        let run = self.last_run;
        let service_time = callers.work[callers.asks[attempt.ask].work].service_time;
        let end = self.targets[target].start(now, run, service_time);
        let operation = callers.ran(attempt.ask);
        self.runs.insert(
            run,
            Run {
                attempt,
                target,
                operation,
            },
        );
        self.by_attempt.insert((attempt.origin, attempt.id), run);
        schedule.add(end, Event::RunEnds(run));
        if attempt.fault == Some(AttemptFault::LostAfter) {
            let result = AttemptResult::ConnectionLost;
            respond(schedule, now + ZONE_LATENCY, &attempt, result);
        }
    }

    pub(super) fn on_cancel(
        &mut self,
        now: MonoTime,
        origin: Origin,
        id: AttemptId,
        callers: &mut Callers,
    ) {
        if let Some(run) = self.by_attempt.get(&(origin, id)).copied() {
            self.end_run(now, run, callers);
        }
    }

    pub(super) fn on_end(
        &mut self,
        now: MonoTime,
        run: u64,
        callers: &mut Callers,
        schedule: &mut Schedule,
    ) {
        let Some(Run { attempt, .. }) = self.end_run(now, run, callers) else {
            return;
        };
        let work = callers.asks[attempt.ask].work;
        let whole = |work: usize, echo: AttemptId| AttemptResult::Complete {
            status: 200,
            body: Callers::body(work).into(),
            echo: Some(echo),
        };
        let at = now + ZONE_LATENCY;
        let swapped = self.last_work.replace((work, attempt.id));
        match attempt.fault {
            Some(AttemptFault::LostBefore | AttemptFault::LostAfter) => {}
            Some(AttemptFault::Truncated) => {
                respond(schedule, at, &attempt, AttemptResult::Truncated);
            }
            Some(AttemptFault::Late) => {
                respond(schedule, at, &attempt, AttemptResult::NoProgress);
                respond(
                    schedule,
                    at + LATE_RESPONSE,
                    &attempt,
                    whole(work, attempt.id),
                );
            }
            Some(AttemptFault::Swapped) => {
                let (other, echo) = swapped.unwrap_or((work, attempt.id));
                respond(schedule, at, &attempt, whole(other, echo));
            }
            None => respond(schedule, at, &attempt, whole(work, attempt.id)),
        }
    }

    fn end_run(&mut self, now: MonoTime, run: u64, callers: &mut Callers) -> Option<Run> {
        let ended = self.runs.remove(&run)?;
        self.by_attempt
            .remove(&(ended.attempt.origin, ended.attempt.id));
        self.targets[ended.target].end(now, run);
        callers.run_ended(ended.operation, ended.attempt.ask);
        Some(ended)
    }
}

fn respond(schedule: &mut Schedule, at: MonoTime, attempt: &Attempt, result: AttemptResult) {
    let event = GatewayEvent::AttemptFinished {
        attempt: attempt.id,
        result,
    };
    schedule.add(at, Event::Deliver(attempt.origin, event));
}
