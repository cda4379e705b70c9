use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::flow::PacketKind;
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

use super::flow_record::FlowState;
use super::report_lag::ReportLag;
use super::settings_editor::SettingsEditor;
use super::traffic::Traffic;
use super::{
    Action, Cause, Change, EventQueue, MEMBERS, MILLISECOND, Period, SAMPLE_INTERVAL_S, SECOND,
    Scale, Tally, Targets, UserGroup,
};
use crate::experiments::policies::{self, FlowPolicy};
use crate::harness::{Delivery, Outcome};

/// The longest time until an update reaches a balancer.
const UPDATE_SPREAD: u64 = 5 * SECOND;
/// Members start, get settings and find each other before the first flow.
const FIRST_FLOW: u64 = 15 * SECOND;
/// The time in which the fabric notices that a balancer is gone or ready.
const FABRIC_DELAY: u64 = SECOND;
/// The time from a caller's opening packet at the balancer to the caller's next packet there.
const ROUND_TRIP: u64 = 3 * MILLISECOND;
const OPEN_RETRANSMIT: u64 = SECOND;
const RETRANSMIT: u64 = 300 * MILLISECOND;
/// The time after which a caller opens a new flow for a broken one.
const RECONNECT: u64 = SECOND;
const REPORT_INTERVAL: u64 = 2 * SECOND;
/// New flows on a leaving target count from this time after the drain was accepted.
const LEAVE_GRACE: u64 = 3 * SECOND;

/// Runs one user's callers, balancers and targets through a script of changes.
pub(crate) struct Simulation {
    scale: Scale,
    script: Vec<Change>,
    /// The virtual time from which some targets report half of their load.
    misleading_from: Option<u64>,
    end: u64,
    now: u64,
    rng: Xoshiro256PlusPlus,
    queue: EventQueue<Event>,
    policy: Box<dyn FlowPolicy>,
    traffic: Traffic,
    targets: Targets,
    editor: SettingsEditor,
    catalog: Arc<ServiceCatalog>,
    reports: ReportLag,
    /// The members that the fabric sprays packets over.
    fabric: Vec<usize>,
    tally: Tally,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Reopen {
        service: u8,
    },
    Packet {
        flow: u32,
        kind: PacketKind,
    },
    Change(usize),
    Withdraw {
        member: u8,
    },
    /// Asks whether a joining member announces itself as ready.
    Admit {
        member: u8,
    },
    Reports,
    Second,
}

impl Simulation {
    pub(crate) fn new(
        user: &'static UserGroup,
        policy: &str,
        seed: u64,
        scale: Scale,
        misleading_from_s: Option<f64>,
    ) -> Self {
        let editor = SettingsEditor::new(user, policies::imbalance_tolerance(policy));
        let catalog = editor.catalog();
        Self {
            scale,
            script: Vec::new(),
            misleading_from: misleading_from_s.map(micros),
            end: 0,
            now: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            queue: EventQueue::default(),
            policy: policies::start(policy, user, seed),
            traffic: Traffic::new(user, scale, seed),
            targets: Targets::default(),
            editor,
            catalog,
            reports: ReportLag::default(),
            fabric: (0..MEMBERS).collect(),
            tally: Tally::default(),
        }
    }

    /// Runs the script until `end_s` and returns what was counted.
    pub(crate) fn run(mut self, script: Vec<Change>, end_s: f64) -> Tally {
        self.end = micros(end_s);
        for (i, change) in script.iter().enumerate() {
            self.queue.push(micros(change.at_s), Event::Change(i));
        }
        self.script = script;
        self.accept_catalog();
        self.queue.push(FIRST_FLOW, Event::Arrival);
        self.queue.push(REPORT_INTERVAL, Event::Reports);
        self.queue.push(SECOND, Event::Second);
        while let Some(time) = self.queue.next_time().filter(|t| *t <= self.end) {
            self.policy.run_until(MonoTime::from_micros(time));
            self.now = self.now.max(time);
            self.settle();
            // Settling may have scheduled something earlier than `time`.
            if let Some((_, event)) = self.queue.pop() {
                self.step(event);
                self.settle();
            }
        }
        self.tally.flows = self.traffic.created() as u64;
        self.tally.relayed = self.policy.relayed();
        self.tally.state_bytes = self.policy.state_bytes();
        self.tally
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let flow = self.traffic.open(self.now);
                self.send(flow, PacketKind::Open);
                let next = self.now + self.traffic.next_arrival();
                self.queue.push(next, Event::Arrival);
            }
            Event::Reopen { service } => {
                let flow = self.traffic.open_for(self.now, usize::from(service));
                self.send(flow, PacketKind::Open);
            }
            Event::Packet { flow, kind } => self.send(flow, kind),
            Event::Change(index) => self.change(self.script[index].action),
            Event::Withdraw { member } => self.fabric.retain(|m| *m != usize::from(member)),
            Event::Admit { member } => self.admit(member),
            Event::Reports => self.report(),
            Event::Second => self.count_second(),
        }
    }

    /// Hands a packet to a random balancer.
    fn send(&mut self, flow: u32, kind: PacketKind) {
        let member = self.traffic.spray(&self.fabric);
        let record = self.traffic.flow(flow);
        record.sent = self.now;
        self.tally.packets += 1;
        self.policy.packet(member, record.key, kind);
    }

    /// Acts on the packets that reached their end.
    fn settle(&mut self) {
        for delivery in self.policy.take_deliveries() {
            let flow = Traffic::index_of(&delivery.packet.flow);
            let kind = delivery.packet.kind;
            match delivery.outcome {
                Outcome::Forwarded(target) => {
                    self.count_held(flow, &delivery);
                    self.arrive(flow, &delivery, target);
                }
                Outcome::Dropped(_) => {
                    self.tally.dropped += 1;
                    self.retransmit(flow, kind);
                }
                Outcome::Lost => self.retransmit(flow, kind),
            }
        }
    }

    fn count_held(&mut self, flow: u32, delivery: &Delivery) {
        let waited =
            delivery.at.as_micros() - self.traffic.flow(flow).sent.min(delivery.at.as_micros());
        if waited > 0 && !delivery.packet.relayed {
            self.tally.hold(waited);
        }
    }

    fn retransmit(&mut self, flow: u32, kind: PacketKind) {
        self.tally.retransmitted += 1;
        let delay = match kind {
            PacketKind::Open => OPEN_RETRANSMIT,
            _ => RETRANSMIT,
        };
        self.queue
            .push(self.now + delay, Event::Packet { flow, kind });
    }

    /// Lets a target receive a packet.
    fn arrive(&mut self, flow: u32, delivery: &Delivery, target: TargetId) {
        let record = *self.traffic.flow(flow);
        let Some(index) = self.targets.index(target) else {
            return self.fail(flow, delivery);
        };
        let fake = self.targets.get(index);
        if fake.service != record.service {
            self.tally.wrong_service += 1;
        }
        let kind = delivery.packet.kind;
        match record.state {
            FlowState::Ended => {}
            FlowState::Opening if !fake.alive => self.retransmit(flow, kind),
            FlowState::Opening => self.accept(flow, index, delivery.at.as_micros()),
            FlowState::Open(holder) if holder == index && fake.alive => {
                self.pass(flow, kind, delivery.at.as_micros());
            }
            FlowState::Open(_) => self.fail(flow, delivery),
        }
    }

    fn accept(&mut self, flow: u32, index: u16, at: u64) {
        let fake = self.targets.get(index);
        fake.flows += 1;
        if fake.leaving_since.is_some_and(|t| at > t + LEAVE_GRACE) {
            self.tally.new_after_leave += 1;
        }
        let record = self.traffic.flow(flow);
        record.state = FlowState::Open(index);
        record.last_ok = at;
        let kind = PacketKind::Established;
        self.queue
            .push(at + ROUND_TRIP, Event::Packet { flow, kind });
    }

    fn pass(&mut self, flow: u32, kind: PacketKind, at: u64) {
        let next = at + self.traffic.next_packet();
        let record = self.traffic.flow(flow);
        record.last_ok = at;
        if matches!(kind, PacketKind::Close | PacketKind::Reset) {
            return self.end_flow(flow);
        }
        let (time, kind) = if next < record.ends_at {
            (next, PacketKind::Established)
        } else {
            (record.ends_at.max(at + ROUND_TRIP), PacketKind::Close)
        };
        self.queue.push(time, Event::Packet { flow, kind });
    }

    fn end_flow(&mut self, flow: u32) {
        let record = self.traffic.flow(flow);
        if let FlowState::Open(holder) = record.state {
            record.state = FlowState::Ended;
            self.targets.get(holder).flows -= 1;
        }
    }

    /// Counts a flow as broken; its caller opens a new one.
    fn fail(&mut self, flow: u32, delivery: &Delivery) {
        let record = *self.traffic.flow(flow);
        let FlowState::Open(holder) = record.state else {
            return self.retransmit(flow, delivery.packet.kind);
        };
        let lost_with_target = !self.targets.get(holder).alive;
        let cause = if lost_with_target {
            self.tally.lost_with_target += 1;
            Cause::TargetDeath
        } else {
            self.cause_since(record.last_ok)
        };
        tracing::debug!(
            flow = %record.key, at = %delivery.at, member = delivery.member,
            holder = %self.targets.get(holder).id, outcome = ?delivery.outcome,
            relayed = delivery.packet.relayed, last_ok = record.last_ok, %cause, "flow broken"
        );
        self.tally.break_flow(cause);
        self.end_flow(flow);
        let service = record.service;
        self.queue
            .push(self.now + RECONNECT, Event::Reopen { service });
    }

    /// Attributes a break to a planned change if there was one since the flow's last good packet,
    /// otherwise to the latest change.
    fn cause_since(&self, last_ok: u64) -> Cause {
        let past = self.script.iter().filter(|c| micros(c.at_s) <= self.now);
        let latest = past.clone().next_back().map_or(Cause::Planned, |c| c.cause);
        let mut recent = past.filter(|c| micros(c.at_s) >= last_ok);
        if recent.any(|c| c.cause == Cause::Planned) {
            Cause::Planned
        } else {
            latest
        }
    }

    fn change(&mut self, action: Action) {
        match action {
            Action::StopBalancer { member } => {
                self.policy.leave(member);
                self.withdraw(member);
            }
            Action::KillBalancer { member } => {
                self.policy.kill(member);
                self.withdraw(member);
            }
            Action::JoinBalancer { member } => {
                self.policy.restart(member);
                self.deliver_settings(member);
                let member = member as u8;
                self.queue
                    .push(self.now + FABRIC_DELAY, Event::Admit { member });
            }
            Action::KillTarget { service, target } => {
                let id = self.catalog_target(service, target);
                if let Some(index) = id.and_then(|id| self.targets.index(id)) {
                    self.targets.get(index).alive = false;
                }
            }
            edit => {
                if self.editor.edit(edit) {
                    self.accept_catalog();
                }
            }
        }
    }

    fn catalog_target(&self, service: usize, target: usize) -> Option<TargetId> {
        let path = &self.editor.paths()[service];
        let name = self.editor.target_name(service, target);
        let targets = &self.catalog.service(path)?.targets;
        targets.iter().find(|t| t.name == name).map(|t| t.id)
    }

    fn accept_catalog(&mut self) {
        self.catalog = self.editor.catalog();
        let paths = self.editor.paths();
        self.targets.accept(self.now, &self.catalog, &paths);
        for member in 0..MEMBERS {
            self.deliver_settings(member);
        }
    }

    fn deliver_settings(&mut self, member: usize) {
        let delay = Duration::from_micros(self.rng.random_range(0..UPDATE_SPREAD));
        self.policy.settings(member, &self.catalog, delay);
    }

    fn withdraw(&mut self, member: usize) {
        let member = member as u8;
        self.queue
            .push(self.now + FABRIC_DELAY, Event::Withdraw { member });
    }

    fn admit(&mut self, member: u8) {
        if self.policy.is_serving(usize::from(member)) {
            self.fabric.push(usize::from(member));
            self.fabric.sort_unstable();
        } else {
            self.queue
                .push(self.now + FABRIC_DELAY, Event::Admit { member });
        }
    }

    fn report(&mut self) {
        self.queue.push(self.now + REPORT_INTERVAL, Event::Reports);
        let misleading = self.misleading_from.is_some_and(|t| self.now >= t);
        let current = self.targets.reports(&self.catalog, misleading);
        for report in self.reports.push(self.now, current) {
            self.policy.report(report);
        }
    }

    fn period(&self) -> Period {
        let filled = FIRST_FLOW + micros(self.scale.ramp_up_s()) + SAMPLE_INTERVAL_S * SECOND;
        let first = self.script.first().map_or(self.end, |c| micros(c.at_s));
        match self.now {
            now if now <= filled => Period::Fill,
            now if now <= first => Period::Rest,
            _ => Period::Script,
        }
    }

    fn count_second(&mut self) {
        self.queue.push(self.now + SECOND, Event::Second);
        let second = self.now / SECOND;
        let period = self.period();
        for member in 0..MEMBERS {
            if self.policy.is_running(member) {
                let total = self.policy.control_bytes(member);
                self.tally.count_control(member, total, period);
            }
        }
        if second.is_multiple_of(SAMPLE_INTERVAL_S) {
            let services = 0..self.editor.paths().len();
            let spreads = services.map(|s| self.targets.spread(s)).collect();
            self.tally.spreads.push((second as f64, spreads));
        }
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * SECOND as f64) as u64
}
