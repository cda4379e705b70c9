use std::sync::Arc;

use hashbrown::HashMap;

use super::{BalancerAction, BalancerEvent, BalancerSettings, DropReason, PeerMessage, Verdict};
use crate::flow::FlowPacket;
use crate::ids::TargetId;
use crate::placement::Table;
use crate::settings::ServiceCatalog;
use crate::units::{MonoTime, Version};

/// Chooses the target of each packet that one balancer receives.
#[derive(Debug)]
pub struct Balancer {
    cfg: BalancerSettings,
    catalog: Arc<ServiceCatalog>,
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
            services: HashMap::new(),
        }
    }

    /// Returns the version of the settings in force.
    pub fn version(&self) -> Version {
        self.catalog.version
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
            } => {
                if version > self.version() {
                    out.push(BalancerAction::PullSettings { from });
                }
            }
            BalancerEvent::Tick => {}
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
