use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;

use zinniadrift_core::balancer::PeerMessage;
use zinniadrift_core::gateway::Peer;
use zinniadrift_core::ids::MemberId;
use zinniadrift_core::membership::{Heartbeat, Host, MemberState};
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::{MonoTime, Version};

use super::gateway_group::GatewayGroup;
use crate::daemon::{DaemonSettings, Role, Seed};
use crate::distribution::{DistributionInput, MemberAddress};
use crate::peer::{PeerCounters, PeerLink, ReceivedMessage};
use crate::status::DaemonStatus;

/// The most peer datagrams that are read before other events are handled.
const DATAGRAM_BATCH: usize = 64;

/// The exchange of heartbeats and settings notices with the user's other gateways.
pub(super) struct PeerExchange {
    link: PeerLink,
    group: GatewayGroup,
    live: Vec<MemberAddress>,
    distribution: mpsc::Sender<DistributionInput>,
}

impl PeerExchange {
    /// Returns an exchange over `link` that starts with the gateways among the seeds.
    pub(super) fn new(
        cfg: &DaemonSettings,
        now: MonoTime,
        link: PeerLink,
        distribution: mpsc::Sender<DistributionInput>,
    ) -> Self {
        let mut group = GatewayGroup::new(MemberId::from_name(&cfg.name));
        for seed in cfg.seeds.iter().filter(|s| s.role == Role::Gateway) {
            group.add_listed(now, &Seed::host(seed));
        }
        Self {
            link,
            group,
            live: Vec::new(),
            distribution,
        }
    }

    /// Returns the datagram counters.
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
    pub(super) fn read_datagrams(&mut self, now: MonoTime) {
        for _ in 0..DATAGRAM_BATCH {
            let Some(received) = self.link.try_receive() else {
                return;
            };
            self.handle_message(now, received);
        }
    }

    fn handle_message(&mut self, now: MonoTime, received: ReceivedMessage) {
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
                    self.group.mark_left(from);
                } else {
                    self.group.record_heartbeat(now, &host);
                }
            }
            PeerMessage::SettingsNotice { version } => self.report_version(from, None, version),
            PeerMessage::Goodbye => self.group.mark_left(from),
            // Messages about flows are exchanged between balancers only.
            _ => {}
        }
    }

    /// Adds the gateways that are listed in status objects and not stopped.
    pub(super) fn add_listed(&mut self, now: MonoTime, statuses: &[DaemonStatus]) {
        let gateways = statuses.iter().filter(|s| s.role == Role::Gateway);
        for status in gateways.filter(|s| &*s.state != "stopped") {
            self.group.add_listed(now, &status.host());
        }
    }

    /// Returns the live gateways if they changed since the last call, and passes them to the
    /// distribution.
    pub(super) fn update_live(&mut self, now: MonoTime) -> Option<Vec<Peer>> {
        let live = self.group.live_members(now);
        if live == self.live {
            return None;
        }
        let peers = live.iter().map(Peer::from).collect();
        let input = DistributionInput::Members(live.clone());
        // If the queue is full, the next call detects the change again.
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
        self.group.evict_stale(now);
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
        // A version lost to a full queue is repeated by the next heartbeat.
        let _ = self.distribution.try_send(input);
    }
}
