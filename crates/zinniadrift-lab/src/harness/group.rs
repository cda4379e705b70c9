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

use super::scheduled::{Arrival, Scheduled};
use super::{Delivery, Member, Network, Outcome};

/// Stands for the wall clock at the origin of the virtual clock, in microseconds.
const EPOCH_MICROS: u64 = 1_700_000_000_000_000;
/// Arrivals that a paused member's socket buffer keeps.
const BACKLOG_CAPACITY: usize = 1_000;

/// Ticks at one virtual time from which on a member is taken to make no progress.
const MAX_TICKS: u32 = 10_000;

/// Moves messages and packets between balancers under a virtual clock.
#[derive(Debug)]
pub struct Group {
    /// The links between the members.
    pub network: Network,
    /// The members in the order in which they were added.
    pub members: Vec<Member>,
    template: BalancerSettings,
    now: MonoTime,
    rng: Xoshiro256PlusPlus,
    index: HashMap<MemberId, usize>,
    queue: BinaryHeap<Scheduled>,
    sent: u64,
    packets: u64,
    deliveries: Vec<Delivery>,
    actions: Vec<BalancerAction>,
}

impl Group {
    /// Returns an empty group; members take their settings from `template`.
    pub fn new(seed: u64, template: BalancerSettings) -> Self {
        Self {
            network: Network::default(),
            members: Vec::new(),
            template,
            now: MonoTime::from_micros(0),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            index: HashMap::new(),
            queue: BinaryHeap::new(),
            sent: 0,
            packets: 0,
            deliveries: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> MonoTime {
        self.now
    }

    /// Starts a member that knows all earlier members, and returns its index.
    pub fn join(&mut self, name: &str, zone: &str) -> usize {
        let at = self.members.len();
        let core = self.start(at, name, zone.into());
        self.index.insert(MemberId::from_name(name), at);
        self.members.push(Member::new(core));
        self.introduce(at);
        at
    }

    /// Starts a killed member again under its name, with empty memory.
    pub fn restart(&mut self, member: usize) {
        let old = self.members[member].core.settings().clone();
        self.members[member].core = self.start(member, &old.name, old.zone);
        self.members[member].alive = true;
        self.members[member].paused = false;
        self.introduce(member);
    }

    /// Ends a member's process; what it holds is lost.
    pub fn kill(&mut self, member: usize) {
        self.members[member].alive = false;
        self.lose_held(member);
    }

    /// Stops a member's process from running; messages wait in its socket buffer.
    pub fn pause(&mut self, member: usize) {
        self.members[member].paused = true;
    }

    /// Lets a paused member continue; what arrived in between comes before the next tick.
    pub fn resume(&mut self, member: usize) {
        self.members[member].paused = false;
        for arrival in std::mem::take(&mut self.members[member].backlog) {
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

    /// Gives a member settings after `delay`, as the platform would.
    pub fn deliver_settings(
        &mut self,
        member: usize,
        catalog: &Arc<ServiceCatalog>,
        delay: Duration,
    ) {
        self.schedule(member, delay, Arrival::Settings(Arc::clone(catalog)));
    }

    /// Gives every running member a target's load report.
    pub fn broadcast_report(&mut self, report: TargetReport) {
        for member in 0..self.members.len() {
            self.handle_event(member, BalancerEvent::Report(report));
        }
    }

    /// Hands a packet to a member and returns the token under which its [`Delivery`] appears.
    pub fn send_packet(&mut self, member: usize, flow: FlowKey, kind: PacketKind) -> PacketToken {
        self.packets += 1;
        let token = PacketToken::from(self.packets);
        let packet = FlowPacket {
            flow,
            kind,
            relayed: false,
            token,
        };
        self.deliver(member, Arrival::Packet(packet));
        token
    }

    /// Returns and forgets the packets that reached their end.
    pub fn take_deliveries(&mut self) -> Vec<Delivery> {
        std::mem::take(&mut self.deliveries)
    }

    /// Advances the clock by `d` and runs everything that falls due.
    pub fn advance(&mut self, d: Duration) {
        self.run_until(self.now + d);
    }

    /// Advances the clock to `end` and runs everything that falls due.
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
                        "member {member} asks for ticks without progress"
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

    /// Sends an event to a running member.
    pub fn handle_event(&mut self, member: usize, event: BalancerEvent) {
        let m = &mut self.members[member];
        if !m.alive || m.paused {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        m.core.handle(self.now, event, &mut actions);
        self.perform(member, &mut actions);
        self.actions = actions;
    }

    fn start(&self, at: usize, name: &str, zone: ZoneName) -> Balancer {
        Balancer::new(BalancerSettings {
            member: MemberId::from_name(name),
            incarnation: Incarnation::from(EPOCH_MICROS + self.now.as_micros()),
            name: name.into(),
            zone,
            address: ([127, 0, 0, 1], 9_000 + at as u16).into(),
            seed: self.template.seed + at as u64,
            ..self.template.clone()
        })
    }

    fn introduce(&mut self, member: usize) {
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
                self.finish(to, packet, Outcome::Lost);
            }
            return;
        }
        if m.paused {
            if m.backlog.len() < BACKLOG_CAPACITY {
                m.backlog.push(arrival);
            }
            return;
        }
        match arrival {
            Arrival::Packet(packet) => self.forward(to, packet),
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

    fn forward(&mut self, member: usize, packet: FlowPacket) {
        let mut actions = std::mem::take(&mut self.actions);
        let core = &mut self.members[member].core;
        let verdict = core.on_packet(self.now, &packet, &mut actions);
        self.settle(member, packet, verdict);
        self.perform(member, &mut actions);
        self.actions = actions;
    }

    fn settle(&mut self, member: usize, packet: FlowPacket, verdict: Verdict) {
        match verdict {
            Verdict::Forward(target) => self.finish(member, packet, Outcome::Forwarded(target)),
            Verdict::Drop(reason) => self.finish(member, packet, Outcome::Dropped(reason)),
            Verdict::Hold => {
                self.members[member].held.insert(packet.token, packet);
            }
            Verdict::Relay(peer) => {
                let relayed = FlowPacket {
                    relayed: true,
                    ..packet
                };
                if !self.send(member, peer, Arrival::Packet(relayed)) {
                    self.finish(member, packet, Outcome::Lost);
                }
            }
        }
    }

    fn perform(&mut self, member: usize, actions: &mut Vec<BalancerAction>) {
        for action in actions.drain(..) {
            match action {
                BalancerAction::Send { to, msg } => self.transmit(member, to, msg),
                BalancerAction::Release { token, verdict } => {
                    if let Some(packet) = self.members[member].held.remove(&token) {
                        self.settle(member, packet, verdict);
                    }
                }
                BalancerAction::PullSettings { from } => self.pull(member, from),
                BalancerAction::Timeline(e) => self.members[member].timeline.push((self.now, e)),
                BalancerAction::StateChanged(_) => {}
                BalancerAction::Exit => {
                    self.members[member].alive = false;
                    self.lose_held(member);
                }
            }
        }
    }

    fn transmit(&mut self, member: usize, to: MemberId, msg: PeerMessage) {
        let m = &mut self.members[member];
        m.count_bytes(self.now, msg.encoded_len());
        let cfg = m.core.settings();
        let arrival = Arrival::Message(cfg.member, cfg.incarnation, msg);
        self.send(member, to, arrival);
    }

    /// Answers a pull over TCP: it takes a round trip and fails if the link is down.
    fn pull(&mut self, member: usize, from: MemberId) {
        let Some(&peer) = self.index.get(&from) else {
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

    fn send(&mut self, from: usize, to: MemberId, arrival: Arrival) -> bool {
        let Some(&to) = self.index.get(&to) else {
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
        self.sent += 1;
        self.queue.push(Scheduled {
            at: self.now + delay,
            seq: self.sent,
            to,
            arrival,
        });
    }

    fn finish(&mut self, member: usize, packet: FlowPacket, outcome: Outcome) {
        self.deliveries.push(Delivery {
            packet,
            member,
            at: self.now,
            outcome,
        });
    }

    fn lose_held(&mut self, member: usize) {
        let held = std::mem::take(&mut self.members[member].held);
        let mut lost: Vec<FlowPacket> = held.into_values().collect();
        lost.sort_by_key(|p| p.token);
        for packet in lost {
            self.finish(member, packet, Outcome::Lost);
        }
        self.members[member].backlog.clear();
    }
}
