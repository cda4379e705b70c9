use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use zinniadrift_core::balancer::TargetReport;
use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::placement::MaglevTable;
use zinniadrift_core::settings::{Service, ServiceCatalog, Target};

/// Holds what one member of a baseline knows about the targets.
#[derive(Debug, Default)]
pub(crate) struct MemberView {
    catalog: Arc<ServiceCatalog>,
    dead: HashSet<TargetId>,
    services: Vec<ServiceView>,
}

#[derive(Debug)]
struct ServiceView {
    address: SocketAddrV4,
    live: Tabled,
    listed: Tabled,
}

#[derive(Debug)]
struct Tabled {
    targets: Vec<TargetId>,
    table: MaglevTable,
}

impl MemberView {
    /// Takes over settings unless they are older than the ones in force.
    pub(crate) fn install(&mut self, catalog: Arc<ServiceCatalog>) {
        if catalog.version > self.catalog.version {
            self.catalog = catalog;
            self.rebuild();
        }
    }

    /// Takes over the health of a target.
    pub(crate) fn observe(&mut self, report: &TargetReport) {
        let changed = if report.healthy {
            self.dead.remove(&report.target)
        } else {
            self.dead.insert(report.target)
        };
        if changed {
            self.rebuild();
        }
    }

    /// Tells whether the member has settings.
    pub(crate) fn is_ready(&self) -> bool {
        !self.services.is_empty()
    }

    /// Tells whether a target is not known to be dead.
    pub(crate) fn is_alive(&self, target: TargetId) -> bool {
        !self.dead.contains(&target)
    }

    /// Returns the target at the flow's hash modulo the number of live targets.
    pub(crate) fn modulo(&self, flow: &FlowKey) -> Option<TargetId> {
        let targets = &self.service(flow)?.live.targets;
        let count = targets.len().max(1) as u64;
        targets.get((flow.hash64() % count) as usize).copied()
    }

    /// Returns the target in the Maglev table over the live targets.
    pub(crate) fn live_owner(&self, flow: &FlowKey) -> Option<TargetId> {
        self.service(flow)?.live.owner(flow)
    }

    /// Returns the target in the Maglev table over all listed targets, draining ones included.
    pub(crate) fn listed_owner(&self, flow: &FlowKey) -> Option<TargetId> {
        self.service(flow)?.listed.owner(flow)
    }

    fn service(&self, flow: &FlowKey) -> Option<&ServiceView> {
        self.services.iter().find(|s| s.address == flow.service)
    }

    fn rebuild(&mut self) {
        let services = self.catalog.services.iter();
        let views = services.map(|s| ServiceView {
            address: s.address,
            live: Tabled::new(s, |t| t.is_active() && !self.dead.contains(&t.id)),
            listed: Tabled::new(s, |_| true),
        });
        self.services = views.collect();
    }
}

impl Tabled {
    fn new(service: &Service, filter: impl Fn(&Target) -> bool) -> Self {
        let chosen: Vec<&Target> = service.targets.iter().filter(|t| filter(t)).collect();
        let named: Vec<_> = chosen.iter().map(|t| (t.name.clone(), t.weight)).collect();
        Self {
            targets: chosen.iter().map(|t| t.id).collect(),
            table: MaglevTable::build(&named),
        }
    }

    fn owner(&self, flow: &FlowKey) -> Option<TargetId> {
        let bucket = MaglevTable::bucket_of(flow.hash64());
        self.table.bucket_owner(bucket).map(|i| self.targets[i])
    }
}
