use std::collections::HashMap;

use zinniadrift_core::balancer::TargetReport;
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::settings::{ServiceCatalog, TargetState};

/// One in this many targets reports half of its load in runs with misleading reports.
const MISLEADING_EVERY: usize = 4;

/// The simulated targets of one user.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    targets: Vec<SimulatedTarget>,
    by_id: HashMap<TargetId, u16>,
}

/// A simulated target.
#[derive(Debug)]
pub(crate) struct SimulatedTarget {
    pub(crate) id: TargetId,
    pub(crate) service: u8,
    pub(crate) alive: bool,
    /// The virtual time at which the drain of the target was accepted, in microseconds.
    pub(crate) draining_since: Option<u64>,
    pub(crate) weight: u16,
    pub(crate) flows: u32,
}

/// The distribution of flows over the active targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadSpread {
    /// The largest load per weight divided by the mean load per weight.
    pub(crate) imbalance: f64,
    /// The standard deviation of the load per weight divided by its mean.
    pub(crate) deviation: f64,
    /// The number of flows of all active targets.
    pub(crate) flows: f64,
    /// The number of active targets.
    pub(crate) targets: usize,
}

impl Targets {
    /// Adds or updates the targets of a newly accepted catalog.
    pub(crate) fn apply_catalog(&mut self, now: u64, catalog: &ServiceCatalog, paths: &[Box<str>]) {
        for (service, path) in paths.iter().enumerate() {
            let listed = catalog.service(path).map_or(&[][..], |s| &s.targets);
            for target in listed {
                let index = *self.by_id.entry(target.id).or_insert_with(|| {
                    self.targets.push(SimulatedTarget {
                        id: target.id,
                        service: service as u8,
                        alive: true,
                        draining_since: None,
                        weight: 0,
                        flows: 0,
                    });
                    (self.targets.len() - 1) as u16
                });
                let simulated = &mut self.targets[usize::from(index)];
                simulated.weight = target.weight.get();
                simulated.draining_since = match target.state {
                    TargetState::Active => None,
                    TargetState::Draining => simulated.draining_since.or(Some(now)),
                };
            }
        }
    }

    /// Returns the index of the target with this identifier.
    pub(crate) fn index(&self, id: TargetId) -> Option<u16> {
        self.by_id.get(&id).copied()
    }

    /// Returns the target with this index.
    pub(crate) fn get(&mut self, index: u16) -> &mut SimulatedTarget {
        &mut self.targets[usize::from(index)]
    }

    /// Returns the current reports of all targets.
    ///
    /// If `misleading` is true, some targets report half of their load.
    pub(crate) fn reports(&self, catalog: &ServiceCatalog, misleading: bool) -> Vec<TargetReport> {
        let services = catalog.services.iter();
        let ids: HashMap<TargetId, _> = services
            .flat_map(|s| s.targets.iter().map(|t| (t.id, s.id)))
            .collect();
        let targets = self.targets.iter().enumerate();
        targets
            .filter_map(|(i, target)| {
                let halved = misleading && i % MISLEADING_EVERY == 0;
                Some(TargetReport {
                    service: *ids.get(&target.id)?,
                    target: target.id,
                    open_flows: if halved {
                        target.flows / 2
                    } else {
                        target.flows
                    },
                    busy: 0,
                    healthy: target.alive,
                })
            })
            .collect()
    }

    /// Returns the load spread over the targets of a service that accept new flows.
    pub(crate) fn spread(&self, service: usize) -> LoadSpread {
        let accepts_flows = |f: &&SimulatedTarget| {
            usize::from(f.service) == service
                && f.alive
                && f.draining_since.is_none()
                && f.weight > 0
        };
        let active: Vec<&SimulatedTarget> = self.targets.iter().filter(accepts_flows).collect();
        let loads: Vec<f64> = active
            .iter()
            .map(|f| f64::from(f.flows) / f64::from(f.weight))
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        if mean <= 0.0 {
            return LoadSpread::default();
        }
        let variance = loads.iter().map(|l| (l - mean).powi(2)).sum::<f64>() / loads.len() as f64;
        LoadSpread {
            imbalance: loads.iter().copied().fold(0.0, f64::max) / mean,
            deviation: variance.sqrt() / mean,
            flows: active.iter().map(|f| f64::from(f.flows)).sum(),
            targets: active.len(),
        }
    }
}
