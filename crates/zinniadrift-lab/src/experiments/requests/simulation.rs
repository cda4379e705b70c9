use std::collections::HashMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::claim::{ReadResult, WriteResult};
use zinniadrift_core::gateway::{GatewayAction, GatewayEvent, IdempotencyKey, Outcome, RequestId};
use zinniadrift_core::units::{MonoTime, Version};

use super::event::{Event, FaultKind, GatewayInstance, StoreWrite};
use super::event_queue::EventQueue;
use super::gateway_process::GatewayProcess;
use super::latency::{CALLER_LATENCY, SETTINGS_LAG, ZONE_LATENCY};
use super::user;
use super::{
    CallerOutcome, Callers, FakeStore, FakeTargets, Job, SimulationSettings, UnknownCause,
};

/// A simulation of gateways, callers, targets and the platform under a virtual clock.
#[derive(Debug)]
pub struct Simulation {
    /// The callers, their jobs and their requests.
    pub callers: Callers,
    /// The platform's object store.
    pub store: FakeStore,
    /// The targets.
    pub fake_targets: FakeTargets,
    pub(super) cfg: SimulationSettings,
    pub(super) gateways: Vec<GatewayProcess>,
    pub(super) queue: EventQueue,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) now: MonoTime,
    pub(super) version: Version,
    forwarded_batches: HashMap<(GatewayInstance, u64), GatewayInstance>,
    /// The longest time from a gateway's decision to give a request up to the answer's arrival at
    /// the caller.
    pub max_give_up_delay: Duration,
}

/// The one-way latency of a platform write, whose round trip takes 5 ms.
const WRITE_LATENCY: Duration = Duration::from_micros(2_500);
const READ_LATENCY: Duration = Duration::from_millis(1);
/// The delay of a late write. It exceeds the 200 ms for which a gateway waits for the answer.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(300);

impl Simulation {
    /// Creates a simulation that delivers the settings to all gateways and schedules the jobs.
    pub fn new(cfg: SimulationSettings, jobs: Vec<Job>) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(cfg.seed);
        let gateways: Vec<GatewayProcess> = (0..cfg.gateways)
            .map(|i| GatewayProcess::new(i, &user::zone(i), &cfg))
            .collect();
        let mut callers = Callers::new(jobs);
        let mut queue = EventQueue::default();
        for i in 0..callers.jobs.len() {
            let gateway = rng.random_range(0..gateways.len());
            let at = callers.jobs[i].at;
            let request = callers.add(i, gateway, at, 0);
            queue.add(at, Event::Request(request));
            if rng.random::<f64>() < cfg.duplicate_share {
                let other = rng.random_range(0..gateways.len());
                let request = callers.add(i, other, at, 0);
                queue.add(at, Event::Request(request));
            }
        }
        let mut sim = Self {
            callers,
            store: FakeStore::default(),
            fake_targets: FakeTargets::new(&cfg),
            gateways,
            queue,
            rng,
            now: MonoTime::default(),
            version: Version::default(),
            forwarded_batches: HashMap::new(),
            max_give_up_delay: Duration::ZERO,
            cfg,
        };
        sim.publish_settings(Duration::ZERO);
        sim.queue.add(MonoTime::default(), Event::PublishPeers);
        sim.queue.add(MonoTime::default(), Event::PublishReports);
        for kind in [
            FaultKind::Kill,
            FaultKind::Pause,
            FaultKind::Outage,
            FaultKind::Drain,
        ] {
            sim.schedule_fault(kind);
        }
        sim
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> MonoTime {
        self.now
    }

    /// Handles all events up to and including `until`, and advances the clock to it.
    pub fn run_until(&mut self, until: MonoTime) {
        while let Some((at, event)) = self.queue.next(until) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(request) => self.on_request(request),
            Event::CallerTimeout(request) => self.end_request(request, CallerOutcome::NoAnswer),
            Event::AnswerArrives(request, answer) => self.on_answer(request, &answer),
            Event::Deliver(to, event) => self.deliver(to, event),
            Event::Tick(to) => self.deliver(to, GatewayEvent::Tick),
            Event::Attempt(attempt) => {
                let now = self.now;
                self.fake_targets
                    .on_attempt(now, attempt, &mut self.callers, &mut self.queue);
            }
            Event::Cancel(instance, id) => {
                self.fake_targets
                    .on_cancel(self.now, instance, id, &mut self.callers);
            }
            Event::RunEnds(run) => {
                let now = self.now;
                self.fake_targets
                    .on_end(now, run, &mut self.callers, &mut self.queue);
            }
            Event::Write(write) => self.on_write(write),
            Event::Read(instance, call_id, shard) => {
                let result = if self.store.is_up(self.now) {
                    self.store.read(shard)
                } else {
                    ReadResult::Unavailable
                };
                let event = GatewayEvent::ShardRead {
                    call_id,
                    shard,
                    result,
                };
                let at = self.now + READ_LATENCY;
                self.queue.add(at, Event::Deliver(instance, event));
            }
            Event::Restart(gateway) => self.restart(gateway),
            Event::PublishPeers => self.publish_peers(),
            Event::PublishReports => self.publish_reports(),
            Event::Fault(kind) => self.on_fault(kind),
            Event::Undrain(target) => {
                self.fake_targets.restart_target(self.now, target);
                self.publish_settings(SETTINGS_LAG);
            }
        }
    }

    fn on_request(&mut self, request: usize) {
        let r = self.callers.requests[request].clone();
        let job = self.callers.jobs[r.job];
        self.callers.record_arrival(request);
        let timeout = self.now + self.cfg.caller_timeout + CALLER_LATENCY * 2;
        self.queue.add(timeout, Event::CallerTimeout(request));
        let gateway = &self.gateways[r.gateway];
        if !gateway.alive {
            // The caller's connection is refused, so the caller knows that its job did not run.
            let kind = zinniadrift_core::error::ErrorKind::NoTarget;
            return self.end_request(request, CallerOutcome::NotRun(kind, 100));
        }
        let event = GatewayEvent::RequestArrived {
            req: RequestId::from(request as u64),
            service: user::service(),
            idempotent: job.idempotent,
            key: (!job.idempotent).then(|| IdempotencyKey::from(&*format!("work-{}", r.job))),
            deadline: self.now + self.cfg.caller_timeout,
        };
        self.deliver(gateway.instance, event);
    }

    fn on_answer(&mut self, request: usize, answer: &Outcome) {
        self.callers.requests[request].answers += 1;
        let outcome = self.callers.classify_answer(request, answer);
        self.end_request(request, outcome);
    }

    pub(super) fn end_request(&mut self, request: usize, outcome: CallerOutcome) {
        if outcome == CallerOutcome::NoAnswer && self.callers.requests[request].cause.is_none() {
            self.callers.requests[request].cause = Some(UnknownCause::GatewayPause);
        }
        if !self.callers.record_outcome(request, self.now, outcome) {
            return;
        }
        let r = self.callers.requests[request].clone();
        let wait = match outcome {
            CallerOutcome::Done | CallerOutcome::WrongResponse => return,
            CallerOutcome::NotRun(_, ms) => Duration::from_millis(ms),
            CallerOutcome::Unknown(_) | CallerOutcome::NoAnswer => Duration::from_millis(500),
        };
        if r.retry >= self.cfg.caller_retries {
            return;
        }
        let gateway = self.rng.random_range(0..self.gateways.len());
        let at = self.now + wait + CALLER_LATENCY * 2;
        let next = self.callers.add(r.job, gateway, at, r.retry + 1);
        self.queue.add(at, Event::Request(next));
    }

    /// Passes an event to a gateway and performs the resulting actions.
    ///
    /// A paused gateway handles the event when its pause ends.
    fn deliver(&mut self, to: GatewayInstance, event: GatewayEvent) {
        let gateway = &mut self.gateways[to.gateway];
        if !gateway.alive || gateway.instance != to {
            self.on_undelivered(to, &event);
            return;
        }
        if gateway.paused_until > self.now {
            let at = gateway.paused_until;
            self.queue.add(at, Event::Deliver(to, event));
            return;
        }
        if gateway.tick_at.is_some_and(|t| t <= self.now) {
            gateway.tick_at = None;
        }
        let due = gateway.core.next_deadline().unwrap_or(self.now);
        let mut out = Vec::new();
        gateway.core.handle(self.now, event, &mut out);
        self.pause_before_send(to.gateway, &out);
        let departure = self.now.max(self.gateways[to.gateway].paused_until);
        for action in out {
            if let GatewayAction::Answer {
                outcome: Outcome::NotRun { .. },
                ..
            } = &action
            {
                let delay = (departure + CALLER_LATENCY).since(due.min(self.now));
                self.max_give_up_delay = self.max_give_up_delay.max(delay);
            }
            self.perform(to, departure, action);
        }
        self.schedule_tick(to);
    }

    fn schedule_tick(&mut self, to: GatewayInstance) {
        let gateway = &mut self.gateways[to.gateway];
        let Some(next) = gateway.core.next_deadline() else {
            return;
        };
        let at = next.max(self.now + Duration::from_micros(1));
        if gateway.tick_at.is_none_or(|t| at < t) {
            gateway.tick_at = Some(at);
            self.queue.add(at, Event::Tick(to));
        }
    }

    /// Reports a failed call to the gateway whose forwarded claims reached a dead gateway.
    fn on_undelivered(&mut self, to: GatewayInstance, event: &GatewayEvent) {
        let GatewayEvent::ClaimsForwarded { batch, .. } = event else {
            return;
        };
        if let Some(from) = self.forwarded_batches.remove(&(to, u64::from(*batch))) {
            let event = GatewayEvent::ClaimsAnswered {
                batch: *batch,
                verdicts: None,
            };
            let at = self.now + ZONE_LATENCY;
            self.queue.add(at, Event::Deliver(from, event));
        }
    }

    fn perform(&mut self, from: GatewayInstance, at: MonoTime, action: GatewayAction) {
        match action {
            GatewayAction::Send {
                req,
                attempt,
                target,
                ..
            } => {
                let request = u64::from(req) as usize;
                let fault = self.draw_attempt_fault();
                if fault.is_some() {
                    self.callers.requests[request].cause = Some(UnknownCause::Connection);
                }
                let latency = self.latency_to(from.gateway, target);
                let attempt = super::event::Attempt {
                    instance: from,
                    id: attempt,
                    request,
                    target,
                    fault,
                };
                self.queue.add(at + latency, Event::Attempt(attempt));
            }
            GatewayAction::CancelAttempt { attempt } => {
                self.queue
                    .add(at + ZONE_LATENCY, Event::Cancel(from, attempt));
            }
            GatewayAction::Answer { req, outcome } => {
                let request = u64::from(req) as usize;
                self.queue
                    .add(at + CALLER_LATENCY, Event::AnswerArrives(request, outcome));
            }
            GatewayAction::ReadShard { call_id, shard } => {
                self.queue
                    .add(at + READ_LATENCY, Event::Read(from, call_id, shard));
            }
            GatewayAction::WriteShard {
                call_id,
                shard,
                expected,
                value,
            } => {
                let write = StoreWrite {
                    instance: from,
                    call_id,
                    shard,
                    expected,
                    value,
                    answer_lost: false,
                };
                self.send_write(at, write);
            }
            GatewayAction::ForwardClaims {
                to,
                batch,
                shard,
                claims,
            } => {
                let Some(gateway) = self.gateways.iter().find(|g| g.peer().member == to) else {
                    return;
                };
                let receiver = gateway.instance;
                self.forwarded_batches
                    .insert((receiver, batch.into()), from);
                let event = GatewayEvent::ClaimsForwarded {
                    from: self.gateways[from.gateway].peer().member,
                    batch,
                    shard,
                    claims,
                };
                self.queue
                    .add(at + ZONE_LATENCY, Event::Deliver(receiver, event));
            }
            GatewayAction::AnswerClaims {
                to,
                batch,
                verdicts,
            } => {
                let Some(gateway) = self.gateways.iter().find(|g| g.peer().member == to) else {
                    return;
                };
                let event = GatewayEvent::ClaimsAnswered {
                    batch,
                    verdicts: Some(verdicts),
                };
                self.queue
                    .add(at + ZONE_LATENCY, Event::Deliver(gateway.instance, event));
            }
            GatewayAction::RetireConnection { .. }
            | GatewayAction::Timeline(_)
            | GatewayAction::Exit => {}
        }
    }

    fn on_write(&mut self, write: StoreWrite) {
        let StoreWrite {
            instance,
            call_id,
            shard,
            ..
        } = write;
        let result = if !self.store.is_up(self.now) || !self.store.admit_write(self.now) {
            WriteResult::Unavailable
        } else {
            self.store.write(shard, write.expected, write.value)
        };
        if write.answer_lost {
            return;
        }
        let event = GatewayEvent::ShardWritten {
            call_id,
            shard,
            result,
        };
        let at = self.now + WRITE_LATENCY;
        self.queue.add(at, Event::Deliver(instance, event));
    }

    /// Sends a write to the platform. By the configured shares, the write is lost, or its answer is
    /// lost, or the write takes effect late and without an answer.
    fn send_write(&mut self, at: MonoTime, mut write: StoreWrite) {
        let faults = self.cfg.faults;
        let mut random: f64 = self.rng.random();
        let mut delay = WRITE_LATENCY;
        if random < faults.lost_writes {
            return;
        }
        random -= faults.lost_writes;
        write.answer_lost = random < faults.lost_write_answers + faults.late_writes;
        if write.answer_lost && random >= faults.lost_write_answers {
            delay = LATE_WRITE_DELAY;
        }
        self.queue.add(at + delay, Event::Write(write));
    }
}
