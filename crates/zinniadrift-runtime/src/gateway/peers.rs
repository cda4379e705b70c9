use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;

use zinniadrift_core::balancer::PeerMessage;
use zinniadrift_core::gateway::Peer;
use zinniadrift_core::ids::MemberId;
use zinniadrift_core::membership::{Heartbeat, Host, MemberState};
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::{MonoTime, Version};

use super::group::Group;
use crate::daemon::{DaemonSettings, Role, Seed};
use crate::distribution::{DistributionInput, MemberAddress};
use crate::peer::{PeerCounters, PeerLink, ReceivedMessage};
use crate::status::DaemonStatus;

const PEER_BATCH: usize = 64;

/// Exchanges heartbeats and settings notices with the user's other gateways.
pub(super) struct Peers {
    link: PeerLink,
    group: Group,
    live: Vec<MemberAddress>,
    distribution: mpsc::Sender<DistributionInput>,
}

impl Peers {
    /// Returns the exchange over `link`; it knows the gateways among the seeds.
    pub(super) fn new(
        cfg: &DaemonSettings,
        now: MonoTime,
        link: PeerLink,
        distribution: mpsc::Sender<DistributionInput>,
    ) -> Self {
        let mut group = Group::new(MemberId::from_name(&cfg.name));
        for seed in cfg.seeds.iter().filter(|s| s.role == Role::Gateway) {
            group.learn(now, &Seed::host(seed));
        }
        Self {
            link,
            group,
            live: Vec::new(),
            distribution,
        }
    }

    /// Returns the counts of datagrams.
    pub(super) fn counters(&self) -> &PeerCounters {
        self.link.counters()
    }

    /// Returns the address of a gateway.
    pub(super) fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        self.group.address_of(member)
    }

    /// Returns the addresses of the live gateways.
    pub(super) fn live_addresses(&self) -> Vec<SocketAddr> {
        self.live.iter().map(|m| m.address).collect()
    }

    /// Waits until datagrams can be read.
    pub(super) async fn readable(&self) {
        self.link.readable().await;
    }

    /// Reads the datagrams that have arrived.
    pub(super) fn read(&mut self, now: MonoTime) {
        for _ in 0..PEER_BATCH {
            let Some(received) = self.link.try_receive() else {
                return;
            };
            self.take(now, received);
        }
    }

    fn take(&mut self, now: MonoTime, received: ReceivedMessage) {
        let from = received.from;
        match received.msg {
            PeerMessage::Heartbeat(h) => {
                self.report_version(from, Some(h.address), h.settings_version);
                let host = Host {
                    name: h.name,
                    zone: h.zone,
                    address: h.address,
                };
                if h.state == MemberState::Leaving {
                    self.group.leave(from);
                } else {
                    self.group.hear(now, &host);
                }
            }
            PeerMessage::SettingsNotice { version } => self.report_version(from, None, version),
            PeerMessage::Goodbye => self.group.leave(from),
            // Messages about flows concern balancers only.
            _ => {}
        }
    }

    /// Learns gateways from status objects.
    pub(super) fn learn(&mut self, now: MonoTime, statuses: &[DaemonStatus]) {
        let gateways = statuses.iter().filter(|s| s.role == Role::Gateway);
        for status in gateways.filter(|s| &*s.state != "stopped") {
            self.group.learn(now, &status.host());
        }
    }

    /// Returns the live gateways if they changed since the last call, and tells the distribution.
    pub(super) fn refresh(&mut self, now: MonoTime) -> Option<Vec<Peer>> {
        let live = self.group.live(now);
        if live == self.live {
            return None;
        }
        let peers = live.iter().map(Peer::from).collect();
        let input = DistributionInput::Members(live.clone());
        // With a full queue the change is found again at the next call.
        if self.distribution.try_send(input).is_ok() {
            self.live = live;
        }
        Some(peers)
    }

    /// Sends a heartbeat to every known gateway.
    pub(super) async fn send_heartbeats(
        &mut self,
        cfg: &DaemonSettings,
        now: MonoTime,
        state: MemberState,
        catalog: &Arc<ServiceCatalog>,
    ) {
        self.group.forget(now);
        let heartbeat = Heartbeat {
            name: cfg.name.clone(),
            zone: cfg.zone.clone(),
            address: cfg.peer,
            state,
            synchronised: true,
            settings_version: catalog.version,
            last_publication: 0,
            bases_digest: 0,
            rebases: Vec::new(),
        };
        self.send_all(&PeerMessage::Heartbeat(heartbeat)).await;
    }

    /// Sends a message to every known gateway.
    pub(super) async fn send_all(&mut self, msg: &PeerMessage) {
        for address in self.group.addresses() {
            self.link.send(Some(address), msg.clone()).await;
        }
    }

    fn report_version(&self, from: MemberId, address: Option<SocketAddr>, version: Version) {
        let input = DistributionInput::PeerVersion {
            from,
            address,
            version,
        };
        // A full queue loses a version that the next heartbeat repeats.
        let _ = self.distribution.try_send(input);
    }
}
