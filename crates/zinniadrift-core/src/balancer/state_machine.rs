use std::net::SocketAddr;
use std::sync::Arc;

use hashbrown::HashMap;

use super::{
    BalancerAction, BalancerEvent, BalancerSettings, Counters, DropReason, PeerMessage,
    RebasePhase, Verdict,
};
use crate::flow::FlowPacket;
use crate::ids::{MemberId, ServiceId, TargetId};
use crate::membership::MemberState;
use crate::placement::Table;
use crate::settings::ServiceCatalog;
use crate::units::{MonoTime, Version};

/// Chooses the target of each packet that one balancer receives.
#[derive(Debug)]
pub struct Balancer {
    cfg: BalancerSettings,
    catalog: Arc<ServiceCatalog>,
    counters: Counters,
    services: HashMap<std::net::SocketAddrV4, ServiceTable>,
}

#[derive(Debug)]
struct ServiceTable {
    table: Table,
    targets: Vec<TargetId>,
}

impl Balancer {
    /// Returns a balancer that has no settings yet.
    pub fn new(cfg: BalancerSettings) -> Self {
        Self {
            cfg,
            catalog: Arc::default(),
            counters: Counters::default(),
            services: HashMap::new(),
        }
    }

    /// Returns the version of the settings in force.
    pub fn version(&self) -> Version {
        self.catalog.version
    }

    /// Returns the settings in force.
    pub fn catalog(&self) -> &Arc<ServiceCatalog> {
        &self.catalog
    }

    /// Returns this member's life-cycle state.
    pub fn state(&self) -> MemberState {
        MemberState::Serving
    }

    /// Tells whether this member holds every publication that it knows of.
    pub fn is_synchronised(&self) -> bool {
        true
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the UDP address of a peer.
    pub fn address_of(&self, _peer: MemberId) -> Option<SocketAddr> {
        None
    }

    /// Returns the peers that count as alive.
    pub fn live_peers(&self) -> Vec<MemberId> {
        Vec::new()
    }

    /// Returns the number of flows that this member remembers.
    pub fn flow_count(&self) -> usize {
        0
    }

    /// Returns the number of remembered flows that the base table does not reproduce.
    pub fn exception_count(&self) -> usize {
        0
    }

    /// Returns the phase of a service's rebase.
    pub fn rebase_phase(&self, _service: ServiceId) -> RebasePhase {
        RebasePhase::Settled
    }

    /// Returns this member's configuration.
    pub fn settings(&self) -> &BalancerSettings {
        &self.cfg
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, _now: MonoTime, event: BalancerEvent, out: &mut Vec<BalancerAction>) {
        match event {
            BalancerEvent::Settings(catalog) => self.install(catalog),
            BalancerEvent::Peer {
                from,
                msg: PeerMessage::SettingsNotice { version },
                ..
            } => {
                if version > self.version() {
                    out.push(BalancerAction::PullSettings { from });
                }
            }
            BalancerEvent::Peer { .. }
            | BalancerEvent::Hosts(_)
            | BalancerEvent::Report(_)
            | BalancerEvent::Tick => {}
            BalancerEvent::Leave => out.push(BalancerAction::Exit),
        }
    }

    /// Decides what to do with one packet.
    pub fn on_packet(
        &mut self,
        _now: MonoTime,
        pkt: &FlowPacket,
        _out: &mut Vec<BalancerAction>,
    ) -> Verdict {
        if self.version() == Version::default() {
            return Verdict::Drop(DropReason::NoSettings);
        }
        let Some(service) = self.services.get(&pkt.flow.service) else {
            return Verdict::Drop(DropReason::UnknownService);
        };
        match service
            .table
            .bucket_owner(Table::bucket_of(pkt.flow.hash64()))
        {
            Some(i) => Verdict::Forward(service.targets[i]),
            None => Verdict::Drop(DropReason::NoTarget),
        }
    }

    /// Returns the next time at which a `Tick` is needed.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        None
    }

    fn install(&mut self, catalog: Arc<ServiceCatalog>) {
        if catalog.version <= self.version() {
            return;
        }
        self.services = catalog
            .services
            .iter()
            .map(|s| {
                let active: Vec<_> = s.targets.iter().filter(|t| t.is_active()).collect();
                let named: Vec<_> = active.iter().map(|t| (t.name.clone(), t.weight)).collect();
                let targets = active.iter().map(|t| t.id).collect();
                (
                    s.address,
                    ServiceTable {
                        table: Table::build(&named),
                        targets,
                    },
                )
            })
            .collect();
        self.catalog = catalog;
    }
}
