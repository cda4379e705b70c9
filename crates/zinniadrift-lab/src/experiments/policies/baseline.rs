use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::balancer::{DropReason, TargetReport};
use zinniadrift_core::flow::{FlowKey, FlowPacket, PacketKind};
use zinniadrift_core::ids::PacketToken;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

use super::FlowPolicy;
use super::member_view::MemberView;
use super::rule::{Rule, RuleContext};
use crate::experiments::fleet::{EventQueue, MEMBER_COUNT, SECOND};
use crate::harness::{Delivery, Outcome};

/// The bytes of the IP and UDP headers of a datagram.
pub(crate) const HEADER_BYTES: u64 = 28;

const HEARTBEAT_PAYLOAD_BYTES: u64 = 40;
/// The time until the members consider a stopped member dead, in microseconds.
const FAILURE_DETECTION_TIMEOUT: u64 = 3 * SECOND;
/// The grace period in which a leaving member still forwards packets, in microseconds.
const LEAVE_GRACE: u64 = 5 * SECOND;
/// The one-way delay of a packet that one member relays to another.
const RELAY_DELAY: Duration = Duration::from_micros(500);

/// A group of members that place flows by a baseline rule.
///
/// The members exchange no messages; heartbeats and the messages of the rule are only counted.
#[derive(Debug)]
pub(crate) struct Baseline<R> {
    rule: R,
    now: MonoTime,
    views: Vec<MemberView>,
    running: [bool; MEMBER_COUNT],
    presumed_alive: [bool; MEMBER_COUNT],
    control_bytes: [u64; MEMBER_COUNT],
    relayed: u64,
    packet_count: u64,
    queue: EventQueue<Event>,
    deliveries: Vec<Delivery>,
}

#[derive(Debug)]
enum Event {
    /// Settings arrive at a member.
    Settings(usize, Arc<ServiceCatalog>),
    /// The grace period of a leaving member ends.
    Stopped(usize),
    /// The peers notice that a member stopped.
    FailureDetected(usize),
    /// All members exchange heartbeats.
    Heartbeats,
}

impl<R: Rule> Baseline<R> {
    pub(crate) fn new(rule: R) -> Self {
        let mut queue = EventQueue::default();
        if rule.has_membership() {
            queue.push(SECOND, Event::Heartbeats);
        }
        Self {
            rule,
            now: MonoTime::default(),
            views: (0..MEMBER_COUNT).map(|_| MemberView::default()).collect(),
            running: [true; MEMBER_COUNT],
            presumed_alive: [true; MEMBER_COUNT],
            control_bytes: [0; MEMBER_COUNT],
            relayed: 0,
            packet_count: 0,
            queue,
            deliveries: Vec::new(),
        }
    }

    fn handle_event(&mut self, time: u64, event: Event) {
        match event {
            Event::Settings(member, catalog) if self.running[member] => {
                self.views[member].install(catalog);
            }
            Event::Settings(..) => {}
            Event::Stopped(member) => {
                self.kill(member);
                self.presumed_alive[member] = false;
            }
            Event::FailureDetected(member) => self.presumed_alive[member] = self.running[member],
            Event::Heartbeats => {
                self.queue.push(time + SECOND, Event::Heartbeats);
                self.exchange_heartbeats();
            }
        }
    }

    /// Counts one heartbeat from each running member to each of its peers.
    fn exchange_heartbeats(&mut self) {
        let peers = self.running.iter().filter(|r| **r).count() as u64 - 1;
        let bytes = 2 * peers * (HEARTBEAT_PAYLOAD_BYTES + HEADER_BYTES);
        for (member, _) in self.running.iter().enumerate().filter(|(_, r)| **r) {
            self.control_bytes[member] += bytes;
        }
    }

    /// Returns the last member that handles a packet and the outcome.
    fn place_packet(&mut self, member: usize, pkt: &FlowPacket) -> (usize, Outcome) {
        if !self.running[member] {
            return (member, Outcome::Lost);
        }
        let mut cx = RuleContext {
            views: &self.views,
            presumed_alive: &self.presumed_alive,
            control_bytes: &mut self.control_bytes,
            relayed: &mut self.relayed,
            handling_member: member,
        };
        let target = self.rule.place(member, pkt, &mut cx);
        let handling_member = cx.handling_member;
        let outcome = match target {
            _ if !self.running[handling_member] => Outcome::Lost,
            Some(target) => Outcome::Forwarded(target),
            None => Outcome::Dropped(DropReason::NoTarget),
        };
        (handling_member, outcome)
    }
}

impl<R: Rule> FlowPolicy for Baseline<R> {
    fn run_until(&mut self, now: MonoTime) {
        while self.queue.next_time().is_some_and(|t| t <= now.as_micros()) {
            if let Some((time, event)) = self.queue.pop() {
                self.handle_event(time, event);
            }
        }
        self.now = now;
    }

    fn send_packet(&mut self, member: usize, flow: FlowKey, kind: PacketKind) {
        self.packet_count += 1;
        let packet = FlowPacket {
            flow,
            kind,
            relayed: false,
            token: PacketToken::from(self.packet_count),
        };
        let (handling_member, outcome) = self.place_packet(member, &packet);
        let relayed = handling_member != member;
        let at = if relayed {
            self.now + RELAY_DELAY
        } else {
            self.now
        };
        self.deliveries.push(Delivery {
            packet: FlowPacket { relayed, ..packet },
            member: handling_member,
            at,
            outcome,
        });
    }

    fn take_deliveries(&mut self) -> Vec<Delivery> {
        std::mem::take(&mut self.deliveries)
    }

    fn deliver_settings(&mut self, member: usize, catalog: &Arc<ServiceCatalog>, delay: Duration) {
        let at = (self.now + delay).as_micros();
        self.queue
            .push(at, Event::Settings(member, Arc::clone(catalog)));
    }

    fn broadcast_report(&mut self, report: TargetReport) {
        for view in &mut self.views {
            view.update_health(&report);
        }
    }

    fn restart(&mut self, member: usize) {
        self.running[member] = true;
        self.presumed_alive[member] = true;
        self.views[member] = MemberView::default();
    }

    fn leave(&mut self, member: usize) {
        let at = self.now.as_micros() + LEAVE_GRACE;
        self.queue.push(at, Event::Stopped(member));
    }

    fn kill(&mut self, member: usize) {
        self.running[member] = false;
        self.rule.clear_member(member);
        let at = self.now.as_micros() + FAILURE_DETECTION_TIMEOUT;
        self.queue.push(at, Event::FailureDetected(member));
    }

    fn is_running(&self, member: usize) -> bool {
        self.running[member]
    }

    fn is_serving(&self, member: usize) -> bool {
        self.running[member] && self.views[member].is_ready()
    }

    fn control_bytes(&self, member: usize) -> u64 {
        self.control_bytes[member]
    }

    fn relayed(&self) -> u64 {
        self.relayed
    }

    fn state_bytes(&self) -> u64 {
        self.rule.state_bytes() / MEMBER_COUNT as u64
    }
}
