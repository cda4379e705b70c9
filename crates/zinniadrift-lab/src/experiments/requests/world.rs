use std::collections::HashMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::claim::{ReadResult, WriteResult};
use zinniadrift_core::gateway::{GatewayAction, GatewayEvent, IdempotencyKey, Outcome, RequestId};
use zinniadrift_core::units::{MonoTime, Version};

use super::event::{Event, FaultKind, Origin, Write};
use super::latency::{CALLER_LATENCY, SETTINGS_LAG, ZONE_LATENCY};
use super::node::Node;
use super::schedule::Schedule;
use super::user;
use super::{Backends, Callers, Cause, Ending, FakeStore, Work, WorldSettings};

/// Simulates gateways with everything around them under a virtual clock.
#[derive(Debug)]
pub struct World {
    /// The callers with their requests.
    pub callers: Callers,
    /// The platform.
    pub store: FakeStore,
    /// The targets.
    pub backends: Backends,
    pub(super) cfg: WorldSettings,
    pub(super) nodes: Vec<Node>,
    pub(super) schedule: Schedule,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) now: MonoTime,
    pub(super) version: Version,
    forwards: HashMap<(Origin, u64), Origin>,
    /// The longest time from a gateway's decision to give up to the answer at the caller.
    pub give_up_delay: Duration,
}

/// The one-way time of a platform write, half of 5 ms.
const WRITE_LATENCY: Duration = Duration::from_micros(2_500);
const READ_LATENCY: Duration = Duration::from_millis(1);
/// The time after which a late write takes effect; the gateway waits for 200 ms.
const LATE_WRITE: Duration = Duration::from_millis(300);

impl World {
    /// Returns a world in which all gateways have their settings and the work is scheduled.
    pub fn new(cfg: WorldSettings, work: Vec<Work>) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(cfg.seed);
        let nodes: Vec<Node> = (0..cfg.gateways)
            .map(|i| Node::new(i, &user::zone(i), &cfg))
            .collect();
        let mut callers = Callers::new(work);
        let mut schedule = Schedule::default();
        for i in 0..callers.work.len() {
            let gateway = rng.random_range(0..nodes.len());
            let at = callers.work[i].at;
            let ask = callers.add(i, gateway, at, 0);
            schedule.add(at, Event::Ask(ask));
            if rng.random::<f64>() < cfg.double_asks {
                let other = rng.random_range(0..nodes.len());
                let ask = callers.add(i, other, at, 0);
                schedule.add(at, Event::Ask(ask));
            }
        }
        let mut world = Self {
            callers,
            store: FakeStore::default(),
            backends: Backends::new(&cfg),
            nodes,
            schedule,
            rng,
            now: MonoTime::default(),
            version: Version::default(),
            forwards: HashMap::new(),
            give_up_delay: Duration::ZERO,
            cfg,
        };
        world.publish_settings(Duration::ZERO);
        world.schedule.add(MonoTime::default(), Event::Peers);
        world.schedule.add(MonoTime::default(), Event::Reports);
        for kind in [
            FaultKind::Kill,
            FaultKind::Pause,
            FaultKind::Outage,
            FaultKind::Drain,
        ] {
            world.plan_fault(kind);
        }
        world
    }

    /// Returns the time of the last event.
    pub fn now(&self) -> MonoTime {
        self.now
    }

    /// Handles all events up to the given time.
    pub fn run_until(&mut self, until: MonoTime) {
        while let Some((at, event)) = self.schedule.next(until) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask(ask) => self.on_ask(ask),
            Event::GiveUp(ask) => self.end_ask(ask, Ending::NoAnswer),
            Event::Answer(ask, outcome) => self.on_answer(ask, &outcome),
            Event::Deliver(to, event) => self.deliver(to, event),
            Event::Tick(to) => self.deliver(to, GatewayEvent::Tick),
            Event::Attempt(attempt) => {
                let now = self.now;
                self.backends
                    .on_attempt(now, attempt, &mut self.callers, &mut self.schedule);
            }
            Event::Cancel(origin, id) => {
                self.backends
                    .on_cancel(self.now, origin, id, &mut self.callers);
            }
            Event::RunEnds(run) => {
                let now = self.now;
                self.backends
                    .on_end(now, run, &mut self.callers, &mut self.schedule);
            }
            Event::Write(write) => self.on_write(write),
            Event::Read(origin, op, shard) => {
                let result = if self.store.is_up(self.now) {
                    self.store.read(shard)
                } else {
                    ReadResult::Unavailable
                };
                let event = GatewayEvent::ShardRead {
                    call_id: op,
                    shard,
                    result,
                };
                let at = self.now + READ_LATENCY;
                self.schedule.add(at, Event::Deliver(origin, event));
            }
            Event::Restart(node) => self.restart(node),
            Event::Peers => self.publish_peers(),
            Event::Reports => self.publish_reports(),
            Event::Fault(kind) => self.on_fault(kind),
            Event::Undrain(target) => {
                self.backends.restart_target(self.now, target);
                self.publish_settings(SETTINGS_LAG);
            }
        }
    }

    fn on_ask(&mut self, ask: usize) {
        let a = self.callers.asks[ask].clone();
        let work = self.callers.work[a.work];
        self.callers.called(ask);
        let patience = self.now + self.cfg.patience + CALLER_LATENCY * 2;
        self.schedule.add(patience, Event::GiveUp(ask));
        let node = &self.nodes[a.gateway];
        if !node.alive {
            // The connection is refused, so the caller knows that nothing ran.
            let kind = zinniadrift_core::error::ErrorKind::NoTarget;
            return self.end_ask(ask, Ending::NotRun(kind, 100));
        }
        let event = GatewayEvent::RequestArrived {
            req: RequestId::from(ask as u64),
            service: user::service(),
            idempotent: work.idempotent,
            key: (!work.idempotent).then(|| IdempotencyKey::from(&*format!("work-{}", a.work))),
            deadline: self.now + self.cfg.patience,
        };
        self.deliver(node.origin, event);
    }

    fn on_answer(&mut self, ask: usize, outcome: &Outcome) {
        self.callers.asks[ask].answers += 1;
        let ending = self.callers.judge(ask, outcome);
        self.end_ask(ask, ending);
    }

    pub(super) fn end_ask(&mut self, ask: usize, ending: Ending) {
        if ending == Ending::NoAnswer && self.callers.asks[ask].cause.is_none() {
            self.callers.asks[ask].cause = Some(Cause::GatewayPause);
        }
        if !self.callers.end(ask, self.now, ending) {
            return;
        }
        let a = self.callers.asks[ask].clone();
        let wait = match ending {
            Ending::Done | Ending::WrongResponse => return,
            Ending::NotRun(_, ms) => Duration::from_millis(ms),
            Ending::Unknown(_) | Ending::NoAnswer => Duration::from_millis(500),
        };
        if a.earlier >= self.cfg.caller_retries {
            return;
        }
        let gateway = self.rng.random_range(0..self.nodes.len());
        let at = self.now + wait + CALLER_LATENCY * 2;
        let next = self.callers.add(a.work, gateway, at, a.earlier + 1);
        self.schedule.add(at, Event::Ask(next));
    }

    /// Gives an input to a gateway and carries out its actions.
    fn deliver(&mut self, to: Origin, event: GatewayEvent) {
        let node = &mut self.nodes[to.node];
        if !node.alive || node.origin != to {
            self.on_undelivered(to, &event);
            return;
        }
        if node.paused_until > self.now {
            let at = node.paused_until;
            self.schedule.add(at, Event::Deliver(to, event));
            return;
        }
        if node.tick_at.is_some_and(|t| t <= self.now) {
            node.tick_at = None;
        }
        let due = node.core.next_deadline().unwrap_or(self.now);
        let mut out = Vec::new();
        node.core.handle(self.now, event, &mut out);
        self.freeze_before(to.node, &out);
        let departure = self.now.max(self.nodes[to.node].paused_until);
        for action in out {
            if let GatewayAction::Answer {
                outcome: Outcome::NotRun { .. },
                ..
            } = &action
            {
                let delay = (departure + CALLER_LATENCY).since(due.min(self.now));
                self.give_up_delay = self.give_up_delay.max(delay);
            }
            self.perform(to, departure, action);
        }
        self.plan_tick(to);
    }

    fn plan_tick(&mut self, to: Origin) {
        let node = &mut self.nodes[to.node];
        let Some(next) = node.core.next_deadline() else {
            return;
        };
        let at = next.max(self.now + Duration::from_micros(1));
        if node.tick_at.is_none_or(|t| at < t) {
            node.tick_at = Some(at);
            self.schedule.add(at, Event::Tick(to));
        }
    }

    /// Reports a failed call to the gateway that forwarded claims to a dead one.
    fn on_undelivered(&mut self, to: Origin, event: &GatewayEvent) {
        let GatewayEvent::ClaimsForwarded { batch, .. } = event else {
            return;
        };
        if let Some(from) = self.forwards.remove(&(to, u64::from(*batch))) {
            let event = GatewayEvent::ClaimsAnswered {
                batch: *batch,
                verdicts: None,
            };
            let at = self.now + ZONE_LATENCY;
            self.schedule.add(at, Event::Deliver(from, event));
        }
    }

    fn perform(&mut self, from: Origin, at: MonoTime, action: GatewayAction) {
        match action {
            GatewayAction::Send {
                req,
                attempt,
                target,
                ..
            } => {
                let ask = u64::from(req) as usize;
                let fault = self.draw_attempt_fault();
                if fault.is_some() {
                    self.callers.asks[ask].cause = Some(Cause::Connection);
                }
                let latency = self.latency_to(from.node, target);
                let attempt = super::event::Attempt {
                    origin: from,
                    id: attempt,
                    ask,
                    target,
                    fault,
                };
                self.schedule.add(at + latency, Event::Attempt(attempt));
            }
            GatewayAction::CancelAttempt { attempt } => {
                self.schedule
                    .add(at + ZONE_LATENCY, Event::Cancel(from, attempt));
            }
            GatewayAction::Answer { req, outcome } => {
                let ask = u64::from(req) as usize;
                self.schedule
                    .add(at + CALLER_LATENCY, Event::Answer(ask, outcome));
            }
            GatewayAction::ReadShard { call_id: op, shard } => {
                self.schedule
                    .add(at + READ_LATENCY, Event::Read(from, op, shard));
            }
            GatewayAction::WriteShard {
                call_id: op,
                shard,
                expected,
                value,
            } => {
                let write = Write {
                    origin: from,
                    op,
                    shard,
                    expected,
                    value,
                    silent: false,
                };
                self.send_write(at, write);
            }
            GatewayAction::ForwardClaims {
                to,
                batch,
                shard,
                claims,
            } => {
                let Some(node) = self.nodes.iter().find(|n| n.peer().member == to) else {
                    return;
                };
                let receiver = node.origin;
                self.forwards.insert((receiver, batch.into()), from);
                let event = GatewayEvent::ClaimsForwarded {
                    from: self.nodes[from.node].peer().member,
                    batch,
                    shard,
                    claims,
                };
                self.schedule
                    .add(at + ZONE_LATENCY, Event::Deliver(receiver, event));
            }
            GatewayAction::AnswerClaims {
                to,
                batch,
                verdicts,
            } => {
                let Some(node) = self.nodes.iter().find(|n| n.peer().member == to) else {
                    return;
                };
                let event = GatewayEvent::ClaimsAnswered {
                    batch,
                    verdicts: Some(verdicts),
                };
                self.schedule
                    .add(at + ZONE_LATENCY, Event::Deliver(node.origin, event));
            }
            GatewayAction::RetireConnection { .. }
            | GatewayAction::Timeline(_)
            | GatewayAction::Exit => {}
        }
    }

    fn on_write(&mut self, write: Write) {
        let Write {
            origin, op, shard, ..
        } = write;
        let result = if !self.store.is_up(self.now) || !self.store.admit_write(self.now) {
            WriteResult::Unavailable
        } else {
            self.store.write(shard, write.expected, write.value)
        };
        if write.silent {
            return;
        }
        let event = GatewayEvent::ShardWritten {
            call_id: op,
            shard,
            result,
        };
        let at = self.now + WRITE_LATENCY;
        self.schedule.add(at, Event::Deliver(origin, event));
    }

    /// Sends a write to the platform, which may lose it, its answer, or delay it.
    fn send_write(&mut self, at: MonoTime, mut write: Write) {
        let faults = self.cfg.faults;
        let mut random: f64 = self.rng.random();
        let mut delay = WRITE_LATENCY;
        if random < faults.lost_writes {
            return;
        }
        random -= faults.lost_writes;
        write.silent = random < faults.lost_answers + faults.late_writes;
        if write.silent && random >= faults.lost_answers {
            delay = LATE_WRITE;
        }
        self.schedule.add(at + delay, Event::Write(write));
    }
}
