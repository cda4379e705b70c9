use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use zinniadrift_core::balancer::{
    Balancer, BalancerAction, BalancerEvent, BalancerSettings, PeerMessage, TargetReport, Verdict,
};
use zinniadrift_core::flow::{FlowKey, FlowPacket, PacketKind};
use zinniadrift_core::ids::{Incarnation, MemberId, PacketToken, ZoneName};
use zinniadrift_core::membership::Host;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

use super::scheduled_arrival::{Arrival, ScheduledArrival};
use super::{Delivery, Member, Network, Outcome};

/// The wall-clock time at the origin of the virtual clock, in microseconds since the Unix epoch.
const CLOCK_ORIGIN_MICROS: u64 = 1_700_000_000_000_000;
/// The number of arrivals that the socket buffer of a paused member holds.
const SOCKET_BUFFER_CAPACITY: usize = 1_000;

/// The number of consecutive ticks at one virtual time that is treated as a lack of progress.
const MAX_TICKS: u32 = 10_000;

/// A group of balancers that exchange messages and packets in memory under a virtual clock.
#[derive(Debug)]
pub struct Group {
    /// The links between the members.
    pub network: Network,
    /// The members in the order in which they were added.
    pub members: Vec<Member>,
    template: BalancerSettings,
    now: MonoTime,
    rng: Xoshiro256PlusPlus,
    index_by_id: HashMap<MemberId, usize>,
    queue: BinaryHeap<ScheduledArrival>,
    last_seq: u64,
    packet_count: u64,
    deliveries: Vec<Delivery>,
    actions: Vec<BalancerAction>,
}

impl Group {
    /// Creates an empty group whose members take their settings from `template`.
    pub fn new(seed: u64, template: BalancerSettings) -> Self {
        Self {
            network: Network::default(),
            members: Vec::new(),
            template,
            now: MonoTime::from_micros(0),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            index_by_id: HashMap::new(),
            queue: BinaryHeap::new(),
            last_seq: 0,
            packet_count: 0,
            deliveries: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> MonoTime {
        self.now
    }

    /// Starts a member with the addresses of all earlier members and returns its index.
    pub fn join(&mut self, name: &str, zone: &str) -> usize {
        let at = self.members.len();
        let core = self.new_balancer(at, name, zone.into());
        self.index_by_id.insert(MemberId::from_name(name), at);
        self.members.push(Member::new(core));
        self.deliver_hosts(at);
        at
    }

    /// Restarts a killed member under its name, without any of its former state.
    pub fn restart(&mut self, member: usize) {
        let old = self.members[member].core.settings().clone();
        self.members[member].core = self.new_balancer(member, &old.name, old.zone);
        self.members[member].alive = true;
        self.members[member].paused = false;
        self.deliver_hosts(member);
    }

    /// Kills the process of a member; the packets that it holds are lost.
    pub fn kill(&mut self, member: usize) {
        self.members[member].alive = false;
        self.lose_held_packets(member);
    }

    /// Suspends the process of a member; messages and packets wait in its socket buffer.
    pub fn pause(&mut self, member: usize) {
        self.members[member].paused = true;
    }

    /// Resumes a paused member; it processes its socket buffer before the next tick.
    pub fn resume(&mut self, member: usize) {
        self.members[member].paused = false;
        for arrival in std::mem::take(&mut self.members[member].socket_buffer) {
            self.deliver(member, arrival);
        }
    }

    /// Asks a member to leave gracefully.
    pub fn leave(&mut self, member: usize) {
        self.handle_event(member, BalancerEvent::Leave);
    }

    /// Cuts all links between two sets of members, in both directions.
    pub fn partition(&mut self, a: &[usize], b: &[usize]) {
        for &x in a {
            for &y in b {
                self.network.block(x, y);
                self.network.block(y, x);
            }
        }
    }

    /// Delivers settings to a member after `delay`, as the platform would.
    pub fn deliver_settings(
        &mut self,
        member: usize,
        catalog: &Arc<ServiceCatalog>,
        delay: Duration,
    ) {
        self.schedule(member, delay, Arrival::Settings(Arc::clone(catalog)));
    }

    /// Delivers a target report to every running member.
    pub fn broadcast_report(&mut self, report: TargetReport) {
        for member in 0..self.members.len() {
            self.handle_event(member, BalancerEvent::Report(report));
        }
    }

    /// Delivers a packet to a member and returns the token that identifies its [`Delivery`].
    pub fn send_packet(&mut self, member: usize, flow: FlowKey, kind: PacketKind) -> PacketToken {
        self.packet_count += 1;
        let token = PacketToken::from(self.packet_count);
        let packet = FlowPacket {
            flow,
            kind,
            relayed: false,
            token,
        };
        self.deliver(member, Arrival::Packet(packet));
        token
    }

    /// Removes and returns the packets whose outcome is known.
    pub fn take_deliveries(&mut self) -> Vec<Delivery> {
        std::mem::take(&mut self.deliveries)
    }

    /// Advances the clock by `d` and runs all events that are due by then.
    pub fn advance(&mut self, d: Duration) {
        self.run_until(self.now + d);
    }

    /// Advances the clock to `end` and runs all events that are due by then.
    pub fn run_until(&mut self, end: MonoTime) {
        let mut ticks = (self.now, 0);
        loop {
            let tick = self.next_tick();
            let arrival = self.queue.peek().map(|s| s.at);
            match (tick, arrival) {
                (Some((at, member)), a) if at <= end && a.is_none_or(|a| at < a) => {
                    self.now = self.now.max(at);
                    ticks = if ticks.0 == self.now {
                        (self.now, ticks.1 + 1)
                    } else {
                        (self.now, 0)
                    };
                    assert!(
                        ticks.1 < MAX_TICKS,
                        "member {member} requested more than {MAX_TICKS} ticks at the same virtual time"
                    );
                    self.handle_event(member, BalancerEvent::Tick);
                }
                (_, Some(a)) if a <= end => {
                    self.now = self.now.max(a);
                    if let Some(s) = self.queue.pop() {
                        self.deliver(s.to, s.arrival);
                    }
                }
                _ => break,
            }
        }
        self.now = self.now.max(end);
    }

    /// Lets a member handle an event now, unless it is stopped or paused.
    pub fn handle_event(&mut self, member: usize, event: BalancerEvent) {
        let m = &mut self.members[member];
        if !m.alive || m.paused {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        m.core.handle(self.now, event, &mut actions);
        self.perform_actions(member, &mut actions);
        self.actions = actions;
    }

    fn new_balancer(&self, at: usize, name: &str, zone: ZoneName) -> Balancer {
        Balancer::new(BalancerSettings {
            member: MemberId::from_name(name),
            incarnation: Incarnation::from(CLOCK_ORIGIN_MICROS + self.now.as_micros()),
            name: name.into(),
            zone,
            address: ([127, 0, 0, 1], 9_000 + at as u16).into(),
            seed: self.template.seed + at as u64,
            ..self.template.clone()
        })
    }

    /// Gives a member the host list of its peers and its first tick.
    fn deliver_hosts(&mut self, member: usize) {
        let others = self
            .members
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != member);
        let hosts = others.map(|(_, m)| m.core.settings());
        let hosts = hosts.map(|cfg| Host {
            name: cfg.name.clone(),
            zone: cfg.zone.clone(),
            address: cfg.address,
        });
        let hosts = hosts.collect();
        self.handle_event(member, BalancerEvent::Hosts(hosts));
        self.handle_event(member, BalancerEvent::Tick);
    }

    /// Returns the time and the member of the earliest pending tick.
    fn next_tick(&self) -> Option<(MonoTime, usize)> {
        let running = self.members.iter().enumerate();
        let running = running.filter(|(_, m)| m.alive && !m.paused);
        running
            .filter_map(|(i, m)| m.core.next_deadline().map(|at| (at, i)))
            .min()
    }

    fn deliver(&mut self, to: usize, arrival: Arrival) {
        let m = &mut self.members[to];
        if !m.alive {
            if let Arrival::Packet(packet) = arrival {
                self.record(to, packet, Outcome::Lost);
            }
            return;
        }
        if m.paused {
            if m.socket_buffer.len() < SOCKET_BUFFER_CAPACITY {
                m.socket_buffer.push(arrival);
            }
            return;
        }
        match arrival {
            Arrival::Packet(packet) => self.process_packet(to, packet),
            Arrival::Settings(catalog) => self.handle_event(to, BalancerEvent::Settings(catalog)),
            Arrival::Message(from, incarnation, msg) => {
                self.members[to].bytes_received += msg.encoded_len() as u64;
                let event = BalancerEvent::Peer {
                    from,
                    incarnation,
                    msg,
                };
                self.handle_event(to, event);
            }
        }
    }

    fn process_packet(&mut self, member: usize, packet: FlowPacket) {
        let mut actions = std::mem::take(&mut self.actions);
        let core = &mut self.members[member].core;
        let verdict = core.on_packet(self.now, &packet, &mut actions);
        self.apply_verdict(member, packet, verdict);
        self.perform_actions(member, &mut actions);
        self.actions = actions;
    }

    fn apply_verdict(&mut self, member: usize, packet: FlowPacket, verdict: Verdict) {
        match verdict {
            Verdict::Forward(target) => self.record(member, packet, Outcome::Forwarded(target)),
            Verdict::Drop(reason) => self.record(member, packet, Outcome::Dropped(reason)),
            Verdict::Hold => {
                self.members[member].held.insert(packet.token, packet);
            }
            Verdict::Relay(peer) => {
                let relayed = FlowPacket {
                    relayed: true,
                    ..packet
                };
                if !self.send_to_peer(member, peer, Arrival::Packet(relayed)) {
                    self.record(member, packet, Outcome::Lost);
                }
            }
        }
    }

    fn perform_actions(&mut self, member: usize, actions: &mut Vec<BalancerAction>) {
        for action in actions.drain(..) {
            match action {
                BalancerAction::Send { to, msg } => self.send_message(member, to, msg),
                BalancerAction::Release { token, verdict } => {
                    if let Some(packet) = self.members[member].held.remove(&token) {
                        self.apply_verdict(member, packet, verdict);
                    }
                }
                BalancerAction::PullSettings { from } => self.answer_pull(member, from),
                BalancerAction::Timeline(e) => self.members[member].timeline.push((self.now, e)),
                BalancerAction::StateChanged(_) => {}
                BalancerAction::Exit => {
                    self.members[member].alive = false;
                    self.lose_held_packets(member);
                }
            }
        }
    }

    fn send_message(&mut self, member: usize, to: MemberId, msg: PeerMessage) {
        let m = &mut self.members[member];
        m.record_sent_bytes(self.now, msg.encoded_len());
        let cfg = m.core.settings();
        let arrival = Arrival::Message(cfg.member, cfg.incarnation, msg);
        self.send_to_peer(member, to, arrival);
    }

    /// Answers a pull of settings over TCP.
    ///
    /// The answer takes one round trip. It is omitted if the link is down in either direction or
    /// the peer does not run.
    fn answer_pull(&mut self, member: usize, from: MemberId) {
        let Some(&peer) = self.index_by_id.get(&from) else {
            return;
        };
        let holder = &self.members[peer];
        let reachable = self.network.reaches(member, peer) && self.network.reaches(peer, member);
        if !reachable || !holder.alive || holder.paused {
            return;
        }
        let catalog = Arc::clone(holder.core.catalog());
        let delay = self.delay(member, peer) + self.delay(peer, member);
        self.schedule(member, delay, Arrival::Settings(catalog));
    }

    /// Sends an arrival over the network and returns whether it is scheduled for delivery.
    fn send_to_peer(&mut self, from: usize, to: MemberId, arrival: Arrival) -> bool {
        let Some(&to) = self.index_by_id.get(&to) else {
            return false;
        };
        if !self.network.reaches(from, to) || self.network.loses(&mut self.rng) {
            return false;
        }
        let delay = self.delay(from, to);
        self.schedule(to, delay, arrival);
        true
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let a = &self.members[from].core.settings().zone;
        let b = &self.members[to].core.settings().zone;
        self.network.delay(a, b, &mut self.rng)
    }

    fn schedule(&mut self, to: usize, delay: Duration, arrival: Arrival) {
        self.last_seq += 1;
        self.queue.push(ScheduledArrival {
            at: self.now + delay,
            seq: self.last_seq,
            to,
            arrival,
        });
    }

    fn record(&mut self, member: usize, packet: FlowPacket, outcome: Outcome) {
        self.deliveries.push(Delivery {
            packet,
            member,
            at: self.now,
            outcome,
        });
    }

    fn lose_held_packets(&mut self, member: usize) {
        let held = std::mem::take(&mut self.members[member].held);
        let mut lost: Vec<FlowPacket> = held.into_values().collect();
        lost.sort_by_key(|p| p.token);
        for packet in lost {
            self.record(member, packet, Outcome::Lost);
        }
        self.members[member].socket_buffer.clear();
    }
}
