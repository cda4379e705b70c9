use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::cx::Cx;
use super::request_table::Attempt;
use super::{
    AttemptResult, GatewayAction, GatewaySettings, HedgeStop, Hedging, LoadReport, Peer,
    ServicePool, TargetRecord, TimelineEvent,
};
use crate::ids::{ServiceId, TargetId, ZoneName};
use crate::settings::ServiceCatalog;
use crate::units::MonoTime;

/// The state of every service at this gateway.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    pools: BTreeMap<ServiceId, ServicePool>,
}

/// The time for which a full target is avoided, before random variation. It is a few round trips; a
/// shorter time would find freed slots hardly sooner and send more probes.
const FULL_BACKOFF: Duration = Duration::from_millis(4);
/// The time for which a target that refused a request before starting it is avoided.
const REFUSED_BACKOFF: Duration = Duration::from_secs(1);

impl Pools {
    pub(crate) fn get_mut(&mut self, service: ServiceId) -> Option<&mut ServicePool> {
        self.pools.get_mut(&service)
    }

    pub(crate) fn services(&self) -> Vec<ServiceId> {
        self.pools.keys().copied().collect()
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let pools = self.pools.values();
        pools.filter_map(ServicePool::next_deadline).min()
    }

    pub(crate) fn configure(
        &mut self,
        now: MonoTime,
        catalog: &ServiceCatalog,
        cfg: &GatewaySettings,
        gateways: &[Peer],
    ) {
        self.pools
            .retain(|id, _| catalog.services.iter().any(|s| s.id == *id));
        for s in &catalog.services {
            let pool = self.pools.entry(s.id).or_insert_with(ServicePool::new);
            pool.targets.configure(now, &s.targets, &s.policies);
            let hedging = &s.policies.hedging;
            pool.hedging = match pool.hedging.take() {
                Some(h) => h.configured(now, cfg.hedging, hedging),
                None => Hedging::new(now, cfg.hedging, hedging),
            };
            pool.policies = s.policies.clone();
        }
        self.set_gateways(&cfg.zone, gateways);
    }

    pub(crate) fn set_gateways(&mut self, zone: &ZoneName, gateways: &[Peer]) {
        for pool in self.pools.values_mut() {
            pool.targets.set_gateways(zone, gateways);
        }
    }

    pub(crate) fn record_report(&mut self, now: MonoTime, report: &LoadReport) {
        for pool in self.pools.values_mut() {
            pool.targets.record_report(now, report);
        }
    }

    /// Updates the state of a target with the result of an attempt.
    pub(crate) fn record_result(
        &mut self,
        cx: &mut Cx<'_>,
        service: ServiceId,
        attempt: &Attempt,
        result: &AttemptResult,
    ) {
        self.release_slot(service, attempt.target);
        if result.is_refusal()
            && let Some(pool) = self.pools.get_mut(&service)
        {
            pool.stop_hedging(cx.now, HedgeStop::Refusal);
        }
        let full_backoff = FULL_BACKOFF.mul_f64(cx.rng.random_range(0.5..1.5));
        let Some(state) = self.target(service, attempt.target) else {
            return;
        };
        match result {
            AttemptResult::Complete { .. } => {
                state.record_success(cx.now.since(attempt.sent));
                return;
            }
            AttemptResult::Shed { .. } => {
                cx.counters.shed += 1;
                state.avoid_until = cx.now + full_backoff;
                return;
            }
            AttemptResult::RefusedBeforeStart => {
                state.avoid_until = cx.now + REFUSED_BACKOFF;
                return;
            }
            _ => {}
        }
        let pool = self.pools.get_mut(&service);
        if pool.is_some_and(|p| p.targets.record_failure(cx.now, attempt.target)) {
            let event = TimelineEvent::TargetEjected(attempt.target);
            cx.out.push(GatewayAction::Timeline(event));
        }
    }

    pub(crate) fn release_slot(&mut self, service: ServiceId, target: TargetId) {
        if let Some(state) = self.target(service, target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    pub(crate) fn target(
        &mut self,
        service: ServiceId,
        target: TargetId,
    ) -> Option<&mut TargetRecord> {
        self.pools.get_mut(&service)?.targets.get_mut(target)
    }
}
