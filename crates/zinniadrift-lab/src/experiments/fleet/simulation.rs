use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::flow::PacketKind;
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

use super::flow_record::FlowState;
use super::report_delay_line::ReportDelayLine;
use super::settings_editor::SettingsEditor;
use super::traffic::Traffic;
use super::{
    Action, Cause, Change, EventQueue, MEMBER_COUNT, MILLISECOND, Phase, SAMPLE_INTERVAL_S, SECOND,
    Scale, Tally, Targets, UserGroup,
};
use crate::experiments::policies::{self, FlowPolicy};
use crate::harness::{Delivery, Outcome};

/// The upper bound of the random delay until new settings reach a balancer, in microseconds.
const MAX_SETTINGS_DELAY: u64 = 5 * SECOND;
/// The virtual time of the first flow, in microseconds.
///
/// Members start, receive settings and discover each other before it.
const FIRST_FLOW_AT: u64 = 15 * SECOND;
/// The time that the fabric takes to notice that a balancer stopped or is ready, in microseconds.
const FABRIC_DELAY: u64 = SECOND;
/// The time between a caller's opening packet and the caller's next packet, both measured at the
/// balancer, in microseconds.
const ROUND_TRIP: u64 = 3 * MILLISECOND;
/// The retransmission timeout of an opening packet, in microseconds.
const OPEN_RETRANSMIT_TIMEOUT: u64 = SECOND;
/// The retransmission timeout of any other packet, in microseconds.
const RETRANSMIT_TIMEOUT: u64 = 300 * MILLISECOND;
/// The delay after which a caller replaces a broken flow by a new one, in microseconds.
const RECONNECT_DELAY: u64 = SECOND;
/// The time between two rounds of target reports, in microseconds.
const REPORT_INTERVAL: u64 = 2 * SECOND;
/// The time after the start of a drain from which new flows on the target are counted as errors, in
/// microseconds.
const DRAIN_GRACE: u64 = 3 * SECOND;

/// A simulation of one user's callers, balancers and targets under a script of changes.
pub(crate) struct Simulation {
    scale: Scale,
    script: Vec<Change>,
    /// The virtual time from which some targets report half of their load, in microseconds.
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
    report_delay_line: ReportDelayLine,
    /// The members over which the fabric spreads packets.
    fabric: Vec<usize>,
    tally: Tally,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    FlowArrival,
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
    /// The fabric checks whether a joining member announces itself as ready.
    Admit {
        member: u8,
    },
    SendReports,
    SampleSecond,
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
            report_delay_line: ReportDelayLine::default(),
            fabric: (0..MEMBER_COUNT).collect(),
            tally: Tally::default(),
        }
    }

    /// Runs the script until `end_s` and returns the counts.
    pub(crate) fn run(mut self, script: Vec<Change>, end_s: f64) -> Tally {
        self.end = micros(end_s);
        for (i, change) in script.iter().enumerate() {
            self.queue.push(micros(change.at_s), Event::Change(i));
        }
        self.script = script;
        self.apply_catalog();
        self.queue.push(FIRST_FLOW_AT, Event::FlowArrival);
        self.queue.push(REPORT_INTERVAL, Event::SendReports);
        self.queue.push(SECOND, Event::SampleSecond);
        while let Some(time) = self.queue.next_time().filter(|t| *t <= self.end) {
            self.policy.run_until(MonoTime::from_micros(time));
            self.now = self.now.max(time);
            self.process_deliveries();
            // The deliveries may have scheduled an event earlier than `time`.
            if let Some((_, event)) = self.queue.pop() {
                self.handle_event(event);
                self.process_deliveries();
            }
        }
        self.tally.flows = self.traffic.flow_count() as u64;
        self.tally.relayed = self.policy.relayed();
        self.tally.state_bytes = self.policy.state_bytes();
        self.tally
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::FlowArrival => {
                let flow = self.traffic.open(self.now);
                self.send(flow, PacketKind::Open);
                let next = self.now + self.traffic.next_arrival();
                self.queue.push(next, Event::FlowArrival);
            }
            Event::Reopen { service } => {
                let flow = self.traffic.open_for(self.now, usize::from(service));
                self.send(flow, PacketKind::Open);
            }
            Event::Packet { flow, kind } => self.send(flow, kind),
            Event::Change(index) => self.apply_action(self.script[index].action),
            Event::Withdraw { member } => self.fabric.retain(|m| *m != usize::from(member)),
            Event::Admit { member } => self.admit(member),
            Event::SendReports => self.send_reports(),
            Event::SampleSecond => self.sample_second(),
        }
    }

    /// Sends a packet of a flow through a randomly chosen balancer.
    fn send(&mut self, flow: u32, kind: PacketKind) {
        let member = self.traffic.choose_balancer(&self.fabric);
        let record = self.traffic.flow(flow);
        record.last_sent = self.now;
        self.tally.packets += 1;
        self.policy.send_packet(member, record.key, kind);
    }

    /// Processes the packets whose outcome is known.
    fn process_deliveries(&mut self) {
        for delivery in self.policy.take_deliveries() {
            let flow = Traffic::index_of(&delivery.packet.flow);
            let kind = delivery.packet.kind;
            match delivery.outcome {
                Outcome::Forwarded(target) => {
                    self.record_hold_time(flow, &delivery);
                    self.arrive_at_target(flow, &delivery, target);
                }
                Outcome::Dropped(_) => {
                    self.tally.dropped += 1;
                    self.retransmit(flow, kind);
                }
                Outcome::Lost => self.retransmit(flow, kind),
            }
        }
    }

    fn record_hold_time(&mut self, flow: u32, delivery: &Delivery) {
        let waited = delivery.at.as_micros()
            - self
                .traffic
                .flow(flow)
                .last_sent
                .min(delivery.at.as_micros());
        if waited > 0 && !delivery.packet.relayed {
            self.tally.record_hold_time(waited);
        }
    }

    fn retransmit(&mut self, flow: u32, kind: PacketKind) {
        self.tally.retransmitted += 1;
        let delay = match kind {
            PacketKind::Open => OPEN_RETRANSMIT_TIMEOUT,
            _ => RETRANSMIT_TIMEOUT,
        };
        self.queue
            .push(self.now + delay, Event::Packet { flow, kind });
    }

    /// Handles the arrival of a packet at a target.
    fn arrive_at_target(&mut self, flow: u32, delivery: &Delivery, target: TargetId) {
        let record = *self.traffic.flow(flow);
        let Some(index) = self.targets.index(target) else {
            return self.break_flow(flow, delivery);
        };
        let receiver = self.targets.get(index);
        if receiver.service != record.service {
            self.tally.wrong_service += 1;
        }
        let kind = delivery.packet.kind;
        match record.state {
            FlowState::Ended => {}
            FlowState::Opening if !receiver.alive => self.retransmit(flow, kind),
            FlowState::Opening => self.accept_flow(flow, index, delivery.at.as_micros()),
            FlowState::Open(holder) if holder == index && receiver.alive => {
                self.continue_flow(flow, kind, delivery.at.as_micros());
            }
            FlowState::Open(_) => self.break_flow(flow, delivery),
        }
    }

    fn accept_flow(&mut self, flow: u32, index: u16, at: u64) {
        let receiver = self.targets.get(index);
        receiver.flows += 1;
        if receiver
            .draining_since
            .is_some_and(|t| at > t + DRAIN_GRACE)
        {
            self.tally.new_after_leave += 1;
        }
        let record = self.traffic.flow(flow);
        record.state = FlowState::Open(index);
        record.last_delivered = at;
        let kind = PacketKind::Established;
        self.queue
            .push(at + ROUND_TRIP, Event::Packet { flow, kind });
    }

    fn continue_flow(&mut self, flow: u32, kind: PacketKind, at: u64) {
        let next = at + self.traffic.next_packet();
        let record = self.traffic.flow(flow);
        record.last_delivered = at;
        if matches!(kind, PacketKind::Close | PacketKind::Reset) {
            return self.end_flow(flow);
        }
        let (time, kind) = if next < record.closes_at {
            (next, PacketKind::Established)
        } else {
            (record.closes_at.max(at + ROUND_TRIP), PacketKind::Close)
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

    /// Records a flow as broken and schedules its replacement by the caller.
    ///
    /// The packet of a flow that is not open is retransmitted instead.
    fn break_flow(&mut self, flow: u32, delivery: &Delivery) {
        let record = *self.traffic.flow(flow);
        let FlowState::Open(holder) = record.state else {
            return self.retransmit(flow, delivery.packet.kind);
        };
        let lost_with_target = !self.targets.get(holder).alive;
        let cause = if lost_with_target {
            self.tally.lost_with_target += 1;
            Cause::TargetDeath
        } else {
            self.cause_since(record.last_delivered)
        };
        tracing::debug!(
            flow = %record.key, at = %delivery.at, member = delivery.member,
            holder = %self.targets.get(holder).id, outcome = ?delivery.outcome,
            relayed = delivery.packet.relayed, last_ok = record.last_delivered, %cause, "flow broken"
        );
        self.tally.record_broken_flow(cause);
        self.end_flow(flow);
        let service = record.service;
        self.queue
            .push(self.now + RECONNECT_DELAY, Event::Reopen { service });
    }

    /// Returns the cause to which a broken flow is attributed.
    ///
    /// This is a planned change if one was made since the last packet that reached the target of
    /// the flow, otherwise the cause of the latest change.
    fn cause_since(&self, last_delivered: u64) -> Cause {
        let past = self.script.iter().filter(|c| micros(c.at_s) <= self.now);
        let latest = past.clone().next_back().map_or(Cause::Planned, |c| c.cause);
        let mut recent = past.filter(|c| micros(c.at_s) >= last_delivered);
        if recent.any(|c| c.cause == Cause::Planned) {
            Cause::Planned
        } else {
            latest
        }
    }

    fn apply_action(&mut self, action: Action) {
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
                if self.editor.apply(edit) {
                    self.apply_catalog();
                }
            }
        }
    }

    fn catalog_target(&self, service: usize, target: usize) -> Option<TargetId> {
        let path = &self.editor.service_paths()[service];
        let name = self.editor.target_name(service, target);
        let targets = &self.catalog.service(path)?.targets;
        targets.iter().find(|t| t.name == name).map(|t| t.id)
    }

    fn apply_catalog(&mut self) {
        self.catalog = self.editor.catalog();
        let paths = self.editor.service_paths();
        self.targets.apply_catalog(self.now, &self.catalog, &paths);
        for member in 0..MEMBER_COUNT {
            self.deliver_settings(member);
        }
    }

    fn deliver_settings(&mut self, member: usize) {
        let delay = Duration::from_micros(self.rng.random_range(0..MAX_SETTINGS_DELAY));
        self.policy.deliver_settings(member, &self.catalog, delay);
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

    fn send_reports(&mut self) {
        self.queue
            .push(self.now + REPORT_INTERVAL, Event::SendReports);
        let misleading = self.misleading_from.is_some_and(|t| self.now >= t);
        let current = self.targets.reports(&self.catalog, misleading);
        for report in self.report_delay_line.push(self.now, current) {
            self.policy.broadcast_report(report);
        }
    }

    fn phase(&self) -> Phase {
        let ramped_up = FIRST_FLOW_AT + micros(self.scale.ramp_up_s()) + SAMPLE_INTERVAL_S * SECOND;
        let first = self.script.first().map_or(self.end, |c| micros(c.at_s));
        match self.now {
            now if now <= ramped_up => Phase::RampUp,
            now if now <= first => Phase::SteadyState,
            _ => Phase::Script,
        }
    }

    fn sample_second(&mut self) {
        self.queue.push(self.now + SECOND, Event::SampleSecond);
        let second = self.now / SECOND;
        let phase = self.phase();
        for member in 0..MEMBER_COUNT {
            if self.policy.is_running(member) {
                let total = self.policy.control_bytes(member);
                self.tally.record_control_bytes(member, total, phase);
            }
        }
        if second.is_multiple_of(SAMPLE_INTERVAL_S) {
            let services = 0..self.editor.service_paths().len();
            let spreads = services.map(|s| self.targets.spread(s)).collect();
            self.tally.spreads.push((second as f64, spreads));
        }
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * SECOND as f64) as u64
}
