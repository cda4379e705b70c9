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

use super::record::record_change;
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

/// Packets read before timers and peers get their turn.
const PACKET_BATCH: usize = 64;
const PEER_BATCH: usize = 64;
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Held packets of all services together; each service's policy is below it.
const HELD_PACKETS: usize = 16_384;

/// Runs one balancer's state machine.
pub(super) struct Driver {
    core: Balancer,
    clock: RunClock,
    packets: UdpSocket,
    link: PeerLink,
    recorder: Recorder,
    reporter: Reporter,
    held: HeldPackets,
    targets: HashMap<TargetId, SocketAddr>,
    relays: HashMap<MemberId, SocketAddr>,
    names: HashMap<MemberId, Box<str>>,
    zones: HashMap<MemberId, ZoneName>,
    members: Vec<MemberAddress>,
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
            held: HeldPackets::new(HELD_PACKETS),
            targets: HashMap::new(),
            relays: HashMap::new(),
            names: HashMap::new(),
            zones: HashMap::new(),
            members: Vec::new(),
            counters: PacketCounters::default(),
            outlets,
            seeds: hosts_of(cfg),
            buf: vec![0; MAX_DATAGRAM_BYTES].into(),
            joined: false,
            exiting: false,
        }
    }

    /// Runs until the core says that the process may stop.
    pub(super) async fn run(&mut self, mut inputs: SharedInputs) {
        let mut housekeeping = interval(HOUSEKEEPING_INTERVAL);
        housekeeping.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reports = interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
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
                    // A second signal is waited for, so that it does not end the process at once.
                    signal = Box::pin(shutdown_signal());
                    self.recorder.record("stop", "asked to stop");
                    self.exiting = !self.joined;
                    self.event(BalancerEvent::Leave).await;
                }
                _ = self.packets.readable() => self.read_packets().await,
                () = self.link.readable() => self.read_peers().await,
                () = timer => self.event(BalancerEvent::Tick).await,
                Some(output) = inputs.distribution.recv() => self.take_output(output).await,
                Some(statuses) = inputs.statuses.recv() => self.take_statuses(statuses).await,
                Some(state) = inputs.reports.recv() => self.take_report(state).await,
                _ = housekeeping.tick() => self.report_members(),
                _ = reports.tick() => self.report_metrics(),
            }
        }
        self.report_state("stopped".into());
    }

    fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Passes an event to the core, which is not asked before the first settings are there.
    async fn event(&mut self, event: BalancerEvent) {
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
                Ok(frame) => self.take_packet(frame).await,
                Err(_) => self.counters.malformed += 1,
            }
        }
    }

    async fn take_packet(&mut self, frame: Frame) {
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
            // A full buffer loses the packet; the caller's TCP repeats it.
            let kept = self.held.keep(pkt.token, frame.packet);
            self.counters.hold_full += u64::from(!kept);
        } else {
            self.apply(verdict, &frame.packet).await;
        }
        self.execute(out).await;
    }

    async fn apply(&mut self, verdict: Verdict, packet: &Bytes) {
        let (address, relayed) = match verdict {
            Verdict::Forward(target) => (self.targets.get(&target), false),
            Verdict::Relay(member) => (self.relays.get(&member), true),
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
            self.take_message(received).await;
        }
    }

    async fn take_message(&mut self, received: ReceivedMessage) {
        let from = received.from;
        match &received.msg {
            PeerMessage::Heartbeat(h) => {
                self.names.insert(from, h.name.clone());
                self.zones.insert(from, h.zone.clone());
                if let Some(address) = received.relay {
                    self.relays.insert(from, address);
                }
                self.report_version(from, Some(h.address), h.settings_version);
            }
            PeerMessage::SettingsNotice { version } => self.report_version(from, None, *version),
            _ => {}
        }
        self.event(BalancerEvent::Peer {
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
                    if let Some(packet) = self.held.take(token) {
                        self.apply(verdict, &packet).await;
                    }
                }
                // The distribution heard of the version from the same message and pulls it.
                BalancerAction::PullSettings { .. } => {}
                BalancerAction::Timeline(event) => {
                    record_change(&self.recorder, &event, self.core.catalog(), &self.names);
                }
                BalancerAction::StateChanged(_) => self.report_status(),
                BalancerAction::Exit => self.exiting = true,
            }
        }
    }

    async fn take_output(&mut self, output: DistributionOutput) {
        match output {
            DistributionOutput::Install(catalog) => self.install(catalog).await,
            DistributionOutput::Notify(version) => {
                for peer in self.core.live_peers() {
                    let address = self.core.address_of(peer);
                    let msg = PeerMessage::SettingsNotice { version };
                    self.link.send(address, msg).await;
                }
            }
        }
    }

    async fn install(&mut self, catalog: Arc<ServiceCatalog>) {
        // A removed target keeps its address, because its flows may still be open.
        let targets = catalog.services.iter().flat_map(|s| &s.targets);
        self.targets.extend(targets.map(|t| (t.id, t.address)));
        self.outlets.catalog.send_replace(catalog.clone());
        // A member joins with settings in force: flow entries that it receives earlier would belong
        // to services that it does not know and would be lost.
        let seeds = (!self.joined).then(|| std::mem::take(&mut self.seeds));
        self.joined = true;
        self.event(BalancerEvent::Settings(catalog)).await;
        if let Some(seeds) = seeds {
            self.event(BalancerEvent::Hosts(seeds)).await;
        }
        self.report_status();
    }

    async fn take_statuses(&mut self, statuses: Vec<DaemonStatus>) {
        let own = self.core.settings().member;
        let found = statuses.iter();
        let peers = found.filter(|s| s.role == Role::Balancer && s.member() != own);
        let hosts: Vec<_> = peers
            .filter(|s| &*s.state != "stopped")
            .map(DaemonStatus::host)
            .collect();
        for host in &hosts {
            self.names.insert(host.member_id(), host.name.clone());
            self.zones.insert(host.member_id(), host.zone.clone());
        }
        self.event(BalancerEvent::Hosts(hosts)).await;
    }

    async fn take_report(&mut self, state: PollResult) {
        let load = state.load.unwrap_or_default();
        self.event(BalancerEvent::Report(TargetReport {
            service: state.service,
            target: state.target,
            open_flows: load.open_flows,
            busy: load.busy,
            healthy: state.healthy && state.load.is_some(),
        }))
        .await;
    }

    fn report_version(&self, from: MemberId, address: Option<SocketAddr>, version: Version) {
        let input = DistributionInput::PeerVersion {
            from,
            address,
            version,
        };
        // A full queue loses a version that the next heartbeat repeats.
        let _ = self.outlets.distribution.try_send(input);
    }

    fn report_members(&mut self) {
        let live = self.core.live_peers();
        let members: Vec<MemberAddress> = live
            .into_iter()
            .filter_map(|id| {
                let zone = self.zones.get(&id)?.clone();
                let address = self.core.address_of(id)?;
                let member = LiveMember { id, zone };
                Some(MemberAddress { member, address })
            })
            .collect();
        if members == self.members {
            return;
        }
        let input = DistributionInput::Members(members.clone());
        if self.outlets.distribution.try_send(input).is_ok() {
            self.members = members;
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
fn hosts_of(cfg: &DaemonSettings) -> Vec<Host> {
    let balancers = cfg.seeds.iter().filter(|s| s.role == Role::Balancer);
    balancers
        .filter(|s| s.name != cfg.name)
        .map(Seed::host)
        .collect()
}
