//! Sends second attempts for slow requests and ends the attempt that is not needed.

use super::Dispatcher;
use crate::gateway::cx::Cx;
use crate::gateway::request::{Request, Stage};
use crate::gateway::request_table::Attempt;
use crate::gateway::{
    AttemptId, GatewayAction, HedgeCandidate, HedgeStop, Hedging, RequestId, TimelineEvent,
};
use crate::ids::ServiceId;

/// The result of the decision on a second attempt.
enum Decision {
    Sent,
    Stopped(HedgeStop),
    OverBudget,
}

impl Dispatcher {
    pub(super) fn hedging(&mut self, service: ServiceId) -> Option<&mut Hedging> {
        self.pools.get_mut(service)?.hedging.as_mut()
    }

    /// Registers the first attempt of a request that may get a second one.
    pub(super) fn add_candidate(&mut self, cx: &Cx<'_>, id: RequestId, attempt: AttemptId) {
        let Some(req) = self.table.get_mut(id) else {
            return;
        };
        let may_repeat = req.idempotent || !cx.mechanisms.hedge_idempotent_only;
        let hedging = self
            .pools
            .get_mut(req.service)
            .and_then(|p| p.hedging.as_mut());
        let Some(hedging) = hedging.filter(|_| may_repeat && req.failed.is_empty()) else {
            return;
        };
        let Some(delay) = hedging.delay() else {
            return;
        };
        if cx.now.since(req.arrived) > delay {
            hedging.stop(cx.now, HedgeStop::Congestion);
        }
        let candidate = HedgeCandidate {
            due: cx.now + delay,
            req: id,
            attempt,
        };
        hedging.add(candidate);
        req.candidate = Some(candidate);
    }

    /// Removes the candidate whose first attempt is `ended`.
    pub(super) fn drop_candidate(&mut self, id: RequestId, ended: AttemptId) {
        let Some(req) = self.table.get_mut(id) else {
            return;
        };
        let service = req.service;
        let Some(candidate) = req.candidate.take_if(|c| c.attempt == ended) else {
            return;
        };
        if let Some(hedging) = self.hedging(service) {
            hedging.remove(candidate);
        }
    }

    /// Records the response time of a first attempt, and counts a second attempt that was faster.
    pub(super) fn record_completion(&mut self, cx: &mut Cx<'_>, id: AttemptId, attempt: &Attempt) {
        let Some(req) = self.table.get_mut(attempt.req) else {
            return;
        };
        if req.hedge == Some(id) {
            cx.counters.hedge_wins += 1;
            return;
        }
        let is_first = req.idempotent && req.failed.is_empty();
        let service = req.service;
        if let Some(hedging) = self.hedging(service).filter(|_| is_first) {
            hedging.record_time(cx.now.since(attempt.sent));
        }
    }

    /// Cancels the attempt that is still in progress when its request is answered by the other one.
    pub(super) fn cancel_loser(&mut self, cx: &mut Cx<'_>, req: &Request) {
        for id in req.attempts() {
            let Some(loser) = self.cancel(cx, req.service, id) else {
                continue;
            };
            cx.counters.hedges_cancelled += 1;
            let is_first = req.stage == Stage::Running(id);
            if let Some(hedging) = self.hedging(req.service).filter(|_| is_first) {
                hedging.record_time(cx.now.since(loser.sent));
            }
        }
    }

    /// Returns whether the other attempt of a request is in progress after `ended` failed, and makes
    /// it the only attempt.
    pub(super) fn continue_with_other(&mut self, id: RequestId, ended: AttemptId) -> bool {
        let Some(req) = self.table.get_mut(id) else {
            return false;
        };
        let Some(hedge) = req.hedge.take() else {
            return false;
        };
        if hedge != ended {
            req.stage = Stage::Running(hedge);
        }
        true
    }

    /// Sends second attempts for the slowest requests as far as the budget and the state of the
    /// service allow.
    pub(super) fn send_hedges(&mut self, cx: &mut Cx<'_>, service: ServiceId) {
        let mut stop = None;
        let mut resumed = false;
        while let Some(candidate) = self.hedging(service).and_then(|h| h.slowest(cx.now)) {
            match self.try_hedge(cx, service, candidate) {
                Decision::Sent => resumed = true,
                Decision::Stopped(reason) => {
                    stop = Some(reason);
                    break;
                }
                Decision::OverBudget => break,
            }
        }
        let Some(hedging) = self.hedging(service) else {
            return;
        };
        let held = hedging.finish_examination(cx.now);
        if stop.is_some() {
            cx.counters.hedges_stopped += held;
        } else {
            cx.counters.hedges_over_budget += held;
        }
        let changed = (resumed || stop.is_some()) && hedging.set_reported(stop.is_some());
        if changed {
            let event = match stop {
                Some(reason) => TimelineEvent::HedgingStopped(service, reason),
                None => TimelineEvent::HedgingResumed(service),
            };
            cx.out.push(GatewayAction::Timeline(event));
        }
    }

    fn try_hedge(
        &mut self,
        cx: &mut Cx<'_>,
        service: ServiceId,
        candidate: HedgeCandidate,
    ) -> Decision {
        let first = self.table.attempt(candidate.attempt).map(|a| a.target);
        let (Some(first), Some(pool)) = (first, self.pools.get_mut(service)) else {
            return Decision::OverBudget;
        };
        let stop = pool.hedge_stop(cx.now, first);
        if let Some(reason) = stop.filter(|_| cx.mechanisms.hedge_stops) {
            return Decision::Stopped(reason);
        }
        let Some(hedging) = &mut pool.hedging else {
            return Decision::OverBudget;
        };
        if cx.mechanisms.hedge_budget && !hedging.try_spend(cx.now) {
            return Decision::OverBudget;
        }
        let target = pool
            .targets
            .choose(cx.now, &[first], &cx.mechanisms, cx.rng);
        let Some(target) = target.filter(|t| *t != first) else {
            return Decision::Stopped(HedgeStop::FewTargets);
        };
        hedging.remove(candidate);
        pool.retry_budget.try_withdraw();
        cx.counters.hedges += 1;
        let attempt = self.start_attempt(cx, candidate.req, service, target);
        if let Some(req) = self.table.get_mut(candidate.req) {
            req.candidate = None;
            req.hedge = attempt;
        }
        Decision::Sent
    }
}
