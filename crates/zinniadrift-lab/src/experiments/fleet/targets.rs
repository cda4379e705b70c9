use std::collections::HashMap;

use zinniadrift_core::balancer::TargetReport;
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::settings::{ServiceCatalog, TargetState};

/// One in this many targets reports half of its load in runs with misleading reports.
const MISLEADING_EVERY: usize = 4;

/// The simulated targets of one user.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    fakes: Vec<TargetFake>,
    by_id: HashMap<TargetId, u16>,
}

/// A simulated target.
#[derive(Debug)]
pub(crate) struct TargetFake {
    pub(crate) id: TargetId,
    pub(crate) service: u8,
    pub(crate) alive: bool,
    /// The virtual time at which the drain of the target was accepted, in microseconds.
    pub(crate) leaving_since: Option<u64>,
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
    pub(crate) fn accept(&mut self, now: u64, catalog: &ServiceCatalog, paths: &[Box<str>]) {
        for (service, path) in paths.iter().enumerate() {
            let listed = catalog.service(path).map_or(&[][..], |s| &s.targets);
            for target in listed {
                let index = *self.by_id.entry(target.id).or_insert_with(|| {
                    self.fakes.push(TargetFake {
                        id: target.id,
                        service: service as u8,
                        alive: true,
                        leaving_since: None,
                        weight: 0,
                        flows: 0,
                    });
                    (self.fakes.len() - 1) as u16
                });
                let fake = &mut self.fakes[usize::from(index)];
                fake.weight = target.weight.get();
                fake.leaving_since = match target.state {
                    TargetState::Active => None,
                    TargetState::Draining => fake.leaving_since.or(Some(now)),
                };
            }
        }
    }

    /// Returns the index of the target with this identifier.
    pub(crate) fn index(&self, id: TargetId) -> Option<u16> {
        self.by_id.get(&id).copied()
    }

    /// Returns the target with this index.
    pub(crate) fn get(&mut self, index: u16) -> &mut TargetFake {
        &mut self.fakes[usize::from(index)]
    }

    /// Returns the current reports of all targets.
    ///
    /// If `misleading` is true, some targets report half of their load.
    pub(crate) fn reports(&self, catalog: &ServiceCatalog, misleading: bool) -> Vec<TargetReport> {
        let services = catalog.services.iter();
        let ids: HashMap<TargetId, _> = services
            .flat_map(|s| s.targets.iter().map(|t| (t.id, s.id)))
            .collect();
        let fakes = self.fakes.iter().enumerate();
        fakes
            .filter_map(|(i, fake)| {
                let halved = misleading && i % MISLEADING_EVERY == 0;
                Some(TargetReport {
                    service: *ids.get(&fake.id)?,
                    target: fake.id,
                    open_flows: if halved { fake.flows / 2 } else { fake.flows },
                    busy: 0,
                    healthy: fake.alive,
                })
            })
            .collect()
    }

    /// Returns the load spread over the targets of a service that accept new flows.
    pub(crate) fn spread(&self, service: usize) -> LoadSpread {
        let takes_flows = |f: &&TargetFake| {
            usize::from(f.service) == service
                && f.alive
                && f.leaving_since.is_none()
                && f.weight > 0
        };
        let active: Vec<&TargetFake> = self.fakes.iter().filter(takes_flows).collect();
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
