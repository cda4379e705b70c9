use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, sleep_until};

use zinniadrift_core::balancer::{
    Balancer, BalancerAction, BalancerEvent, BalancerSettings, PeerMessage, TargetReport, Verdict,
};
use zinniadrift_core::distribution::LiveMember;
use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::{MemberId, TargetId, ZoneName};
use zinniadrift_core::membership::Host;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::{MonoTime, Version};

use super::record::record_event;
use super::{HeldPackets, PacketCounters};
use crate::daemon::{
    DaemonSettings, Role, RunClock, Seed, SharedInputs, SharedOutputs, shutdown_signal,
};
use crate::distribution::{DistributionInput, DistributionOutput, MemberAddress};
use crate::geneve::{Frame, MAX_DATAGRAM_BYTES};
use crate::metrics::{REPORT_INTERVAL, Reporter, report_balancer};
use crate::peer::{PeerLink, ReceivedMessage};
use crate::status::DaemonStatus;
use crate::targets::PollResult;
use crate::timeline::Recorder;

/// The most packets that are read before other events are handled.
const PACKET_BATCH: usize = 64;
/// The most peer datagrams that are read before other events are handled.
const PEER_BATCH: usize = 64;
const MEMBER_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The limit of held packets of all services together; each service's own limit is lower.
const MAX_HELD_PACKETS: usize = 16_384;

/// The driver of one balancer's state machine, which passes it events and executes its actions.
pub(super) struct Driver {
    core: Balancer,
    clock: RunClock,
    packets: UdpSocket,
    link: PeerLink,
    recorder: Recorder,
    reporter: Reporter,
    held: HeldPackets,
    target_addresses: HashMap<TargetId, SocketAddr>,
    relay_addresses: HashMap<MemberId, SocketAddr>,
    member_names: HashMap<MemberId, Box<str>>,
    member_zones: HashMap<MemberId, ZoneName>,
    reported_members: Vec<MemberAddress>,
    counters: PacketCounters,
    outlets: SharedOutputs,
    seeds: Vec<Host>,
    buf: Box<[u8]>,
    joined: bool,
    exiting: bool,
}

impl Driver {
    pub(super) fn new(
        cfg: &DaemonSettings,
        clock: RunClock,
        packets: UdpSocket,
        link: PeerLink,
        recorder: Recorder,
        outlets: SharedOutputs,
    ) -> Self {
        let defaults = BalancerSettings::default();
        let millis = |value: Option<u64>, default| value.map_or(default, Duration::from_millis);
        let core = Balancer::new(BalancerSettings {
            member: MemberId::from_name(&cfg.name),
            incarnation: clock.incarnation(),
            name: cfg.name.clone(),
            zone: cfg.zone.clone(),
            address: cfg.peer,
            seed: clock.incarnation().into(),
            drain_quiet: millis(cfg.drain_quiet_ms, defaults.drain_quiet),
            drain_deadline: millis(cfg.drain_deadline_ms, defaults.drain_deadline),
            ..defaults
        });
        Self {
            core,
            clock,
            packets,
            link,
            recorder,
            reporter: Reporter::new(cfg.statsd, Role::Balancer, &cfg.name),
            held: HeldPackets::new(MAX_HELD_PACKETS),
            target_addresses: HashMap::new(),
            relay_addresses: HashMap::new(),
            member_names: HashMap::new(),
            member_zones: HashMap::new(),
            reported_members: Vec::new(),
            counters: PacketCounters::default(),
            outlets,
            seeds: seed_hosts(cfg),
            buf: vec![0; MAX_DATAGRAM_BYTES].into(),
            joined: false,
            exiting: false,
        }
    }

    /// Runs until the core reports that the process may exit.
    pub(super) async fn run(&mut self, mut inputs: SharedInputs) {
        let mut member_reports = interval(MEMBER_REPORT_INTERVAL);
        member_reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut metric_reports = interval(REPORT_INTERVAL);
        metric_reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut signal = Box::pin(shutdown_signal());
        while !self.exiting {
            let deadline = self.core.next_deadline().map(|t| self.clock.instant(t));
            let timer = async {
                match deadline {
                    Some(t) => sleep_until(t).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = &mut signal => {
                    // The handler stays installed, so that a second signal does not end the process
                    // at once.
                    signal = Box::pin(shutdown_signal());
                    self.recorder.record("stop", "asked to stop");
                    self.exiting = !self.joined;
                    self.handle_event(BalancerEvent::Leave).await;
                }
                _ = self.packets.readable() => self.read_packets().await,
                () = self.link.readable() => self.read_peers().await,
                () = timer => self.handle_event(BalancerEvent::Tick).await,
                Some(output) = inputs.distribution.recv() => self.handle_output(output).await,
                Some(statuses) = inputs.statuses.recv() => self.handle_statuses(statuses).await,
                Some(result) = inputs.reports.recv() => self.handle_poll_result(result).await,
                _ = member_reports.tick() => self.report_members(),
                _ = metric_reports.tick() => self.report_metrics(),
            }
        }
        self.report_state("stopped".into());
    }

    fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Passes an event to the core; events before the first settings are ignored.
    async fn handle_event(&mut self, event: BalancerEvent) {
        if !self.joined {
            return;
        }
        let mut out = Vec::new();
        self.core.handle(self.now(), event, &mut out);
        self.execute(out).await;
    }

    async fn read_packets(&mut self) {
        for _ in 0..PACKET_BATCH {
            let Ok((len, _)) = self.packets.try_recv_from(&mut self.buf) else {
                return;
            };
            let datagram = Bytes::copy_from_slice(&self.buf[..len]);
            match Frame::decode(&datagram) {
                Ok(frame) => self.handle_packet(frame).await,
                Err(_) => self.counters.malformed += 1,
            }
        }
    }

    async fn handle_packet(&mut self, frame: Frame) {
        if !self.joined {
            self.counters.not_joined += 1;
            return;
        }
        let pkt = FlowPacket {
            flow: frame.flow,
            kind: frame.kind,
            relayed: frame.relayed,
            token: self.held.next_token(),
        };
        let mut out = Vec::new();
        let verdict = self.core.on_packet(self.now(), &pkt, &mut out);
        if verdict == Verdict::Hold {
            // A packet dropped because the buffer is full is retransmitted by the caller's TCP.
            let is_stored = self.held.insert(pkt.token, frame.packet);
            self.counters.hold_full += u64::from(!is_stored);
        } else {
            self.apply_verdict(verdict, &frame.packet).await;
        }
        self.execute(out).await;
    }

    async fn apply_verdict(&mut self, verdict: Verdict, packet: &Bytes) {
        let (address, relayed) = match verdict {
            Verdict::Forward(target) => (self.target_addresses.get(&target), false),
            Verdict::Relay(member) => (self.relay_addresses.get(&member), true),
            Verdict::Hold | Verdict::Drop(_) => return,
        };
        let Some(address) = address else {
            self.counters.no_address += 1;
            return;
        };
        let datagram = Frame::encode(packet, relayed);
        if self.packets.send_to(&datagram, address).await.is_err() {
            self.counters.send_failed += 1;
        }
    }

    async fn read_peers(&mut self) {
        for _ in 0..PEER_BATCH {
            let Some(received) = self.link.try_receive() else {
                return;
            };
            self.handle_message(received).await;
        }
    }

    async fn handle_message(&mut self, received: ReceivedMessage) {
        let from = received.from;
        match &received.msg {
            PeerMessage::Heartbeat(h) => {
                self.member_names.insert(from, h.name.clone());
                self.member_zones.insert(from, h.zone.clone());
                if let Some(address) = received.relay {
                    self.relay_addresses.insert(from, address);
                }
                self.report_version(from, Some(h.address), h.settings_version);
            }
            PeerMessage::SettingsNotice { version } => self.report_version(from, None, *version),
            _ => {}
        }
        self.handle_event(BalancerEvent::Peer {
            from,
            incarnation: received.incarnation,
            msg: received.msg,
        })
        .await;
    }

    async fn execute(&mut self, actions: Vec<BalancerAction>) {
        for action in actions {
            match action {
                BalancerAction::Send { to, msg } => {
                    let address = self.core.address_of(to);
                    self.link.send(address, msg).await;
                }
                BalancerAction::Release { token, verdict } => {
                    if let Some(packet) = self.held.remove(token) {
                        self.apply_verdict(verdict, &packet).await;
                    }
                }
                // The distribution got the version from the same message and pulls the settings.
                BalancerAction::PullSettings { .. } => {}
                BalancerAction::Timeline(event) => {
                    record_event(
                        &self.recorder,
                        &event,
                        self.core.catalog(),
                        &self.member_names,
                    );
                }
                BalancerAction::StateChanged(_) => self.report_status(),
                BalancerAction::Exit => self.exiting = true,
            }
        }
    }

    async fn handle_output(&mut self, output: DistributionOutput) {
        match output {
            DistributionOutput::Install(catalog) => self.apply_settings(catalog).await,
            DistributionOutput::Notify(version) => {
                for peer in self.core.live_peers() {
                    let address = self.core.address_of(peer);
                    let msg = PeerMessage::SettingsNotice { version };
                    self.link.send(address, msg).await;
                }
            }
        }
    }

    async fn apply_settings(&mut self, catalog: Arc<ServiceCatalog>) {
        // The address of a removed target is kept, because its flows may still be open.
        let targets = catalog.services.iter().flat_map(|s| &s.targets);
        self.target_addresses
            .extend(targets.map(|t| (t.id, t.address)));
        self.outlets.catalog.send_replace(catalog.clone());
        // A balancer joins the group only with settings in force: flow entries that it receives
        // earlier would belong to unknown services and be lost.
        let seeds = (!self.joined).then(|| std::mem::take(&mut self.seeds));
        self.joined = true;
        self.handle_event(BalancerEvent::Settings(catalog)).await;
        if let Some(seeds) = seeds {
            self.handle_event(BalancerEvent::Hosts(seeds)).await;
        }
        self.report_status();
    }

    async fn handle_statuses(&mut self, statuses: Vec<DaemonStatus>) {
        let own_id = self.core.settings().member;
        let statuses = statuses.iter();
        let peers = statuses.filter(|s| s.role == Role::Balancer && s.member() != own_id);
        let hosts: Vec<_> = peers
            .filter(|s| &*s.state != "stopped")
            .map(DaemonStatus::host)
            .collect();
        for host in &hosts {
            self.member_names
                .insert(host.member_id(), host.name.clone());
            self.member_zones
                .insert(host.member_id(), host.zone.clone());
        }
        self.handle_event(BalancerEvent::Hosts(hosts)).await;
    }

    async fn handle_poll_result(&mut self, result: PollResult) {
        let load = result.load.unwrap_or_default();
        self.handle_event(BalancerEvent::Report(TargetReport {
            service: result.service,
            target: result.target,
            open_flows: load.open_flows,
            busy: load.busy,
            healthy: result.healthy && result.load.is_some(),
        }))
        .await;
    }

    fn report_version(&self, from: MemberId, address: Option<SocketAddr>, version: Version) {
        let input = DistributionInput::PeerVersion {
            from,
            address,
            version,
        };
        // A version lost to a full queue is repeated by the next heartbeat.
        let _ = self.outlets.distribution.try_send(input);
    }

    fn report_members(&mut self) {
        let live = self.core.live_peers();
        let members: Vec<MemberAddress> = live
            .into_iter()
            .filter_map(|id| {
                let zone = self.member_zones.get(&id)?.clone();
                let address = self.core.address_of(id)?;
                let member = LiveMember { id, zone };
                Some(MemberAddress { member, address })
            })
            .collect();
        if members == self.reported_members {
            return;
        }
        let input = DistributionInput::Members(members.clone());
        if self.outlets.distribution.try_send(input).is_ok() {
            self.reported_members = members;
        }
    }

    fn report_metrics(&mut self) {
        report_balancer(&mut self.reporter, &self.core, &self.counters);
        self.reporter
            .send_common(self.link.counters(), &self.recorder);
    }

    fn report_status(&self) {
        self.report_state(self.core.state().to_string().into());
    }

    fn report_state(&self, state: Box<str>) {
        let version = self.core.version();
        self.outlets.status.send_if_modified(|status| {
            let changed = status.state != state || status.version != version;
            status.state = state;
            status.version = version;
            changed
        });
    }
}

/// Returns the other balancers among the seeds.
fn seed_hosts(cfg: &DaemonSettings) -> Vec<Host> {
    let balancers = cfg.seeds.iter().filter(|s| s.role == Role::Balancer);
    balancers
        .filter(|s| s.name != cfg.name)
        .map(Seed::host)
        .collect()
}
