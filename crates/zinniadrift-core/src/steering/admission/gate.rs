use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use hashbrown::HashMap;

use crate::flow::FlowKey;
use crate::units::MonoTime;

use super::{ResponseBaseline, WaitingRequest, WaitingRequests};
use crate::steering::directory::target_directory::TargetIndex;
use crate::steering::flows::tracked_flow::FlowPhase;
use crate::steering::{Decision, Segment, Steering};

/// The requests that wait in the balancer, by target, and what the limits of targets depend on.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionGate {
    waiting: BTreeMap<TargetIndex, WaitingRequests>,
    baselines: HashMap<SocketAddrV4, ResponseBaseline>,
    /// The flows whose requests go on now.
    admitted: Vec<FlowKey>,
    /// The flows whose held packets belong to an earlier flow with the same addresses.
    superseded: Vec<FlowKey>,
    next_check: MonoTime,
    /// Whether no further request may wait.
    is_closed: bool,
}

/// The interval at which waiting requests are checked without a response of their target.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The share of the baseline by which the latency target counts as longer at least: a route whose
/// target is shorter than its responses would otherwise always look congested.
const MIN_SLACK: f32 = 0.5;
/// The time without a response after which a target gets one more of the waiting requests: those
/// that it has may be lost.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The timeout of a route without one.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(1_500);

impl AdmissionGate {
    /// Returns the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.values().map(WaitingRequests::len).sum()
    }

    /// Returns whether any request waits.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns when waiting requests are due for a check, if there are any.
    pub(crate) fn next_check(&self) -> Option<MonoTime> {
        self.has_waiting().then_some(self.next_check)
    }

    /// Forgets routes that are not in force anymore.
    pub(crate) fn retain_routes(&mut self, keep: impl Fn(SocketAddrV4) -> bool) {
        self.baselines.retain(|address, _| keep(*address));
    }

    /// Records a response time of a route; returns the one without congestion.
    pub(crate) fn learn_baseline(
        &mut self,
        now: MonoTime,
        address: SocketAddrV4,
        took: Duration,
        latency_target: Duration,
    ) -> Duration {
        let baseline = self.baselines.entry(address).or_default();
        baseline.record(now, took);
        baseline.get(latency_target)
    }

    /// Returns the response time of a route without congestion.
    pub(crate) fn baseline(&self, address: SocketAddrV4, latency_target: Duration) -> Duration {
        let baseline = self.baselines.get(&address).copied();
        baseline.unwrap_or_default().get(latency_target)
    }
}

impl Steering {
    /// Takes the flows whose waiting requests go on now.
    ///
    /// The packets of each are passed to [`Steering::on_segment`] again, in the order of their
    /// sequence numbers.
    pub fn take_admitted(&mut self) -> Vec<FlowKey> {
        std::mem::take(&mut self.gate.admitted)
    }

    /// Takes the flows whose held packets must not be forwarded, because their caller has opened a
    /// new flow with the same addresses.
    pub fn take_superseded(&mut self) -> Vec<FlowKey> {
        std::mem::take(&mut self.gate.superseded)
    }

    /// Returns whether a request of the flow waits in the balancer.
    pub fn is_waiting(&self, flow: &FlowKey) -> bool {
        self.flows.is_waiting(flow)
    }

    /// Returns the number of requests that wait in the balancer.
    pub fn waiting_requests(&self) -> usize {
        self.gate.len()
    }

    /// Returns whether a request to `service` may wait.
    ///
    /// Those of a route without a latency target go on at once: there is nothing to meet by
    /// waiting.
    pub(in crate::steering) fn may_hold(&self, service: SocketAddrV4) -> bool {
        let cfg = &self.cfg.admission;
        let route = self.routes.get(service);
        let has_target = route.is_some_and(|r| r.latency_target.is_some());
        let has_room = !self.gate.is_closed && self.gate.len() < cfg.max_waiting;
        cfg.enabled && has_target && has_room
    }

    /// Lets a request wait whose first packet has just arrived.
    pub(in crate::steering) fn hold_request(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        index: TargetIndex,
    ) {
        let Some(route) = self.routes.get(seg.flow.service) else {
            return;
        };
        let target = route.latency_target.unwrap_or_default();
        let timeout = route.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let baseline = self.gate.baseline(route.address, target);
        let req = WaitingRequest {
            flow: seg.flow,
            since: now,
            useful_until: now + target.saturating_sub(baseline),
            given_up_at: now + timeout,
            priority: route.priority,
        };
        let waiting = self.gate.waiting.entry(index).or_default();
        if waiting.is_empty() {
            self.gate.next_check = now + CHECK_INTERVAL;
        }
        waiting.push(req);
        self.counters.requests_held += 1;
        if let Some(record) = self.directory.get_mut(index) {
            record.limit.record_waiting(now);
        }
    }

    /// Gives up the waiting request of an earlier flow with the same addresses: its target would
    /// answer into the new flow.
    pub(in crate::steering) fn supersede(&mut self, flow: &FlowKey) {
        if self.flows.is_waiting(flow) {
            self.gate.superseded.push(*flow);
            self.counters.requests_abandoned += 1;
        }
    }

    /// Lets the request of a flow go on at once, if it waits.
    pub(in crate::steering) fn admit_now(&mut self, now: MonoTime, flow: &FlowKey) {
        if self.flows.admit(&mut self.directory, now, flow) {
            self.gate.admitted.push(*flow);
            let later = self.flows.get(flow).filter(|f| f.requests > 1);
            if let Some(target) = later.map(|f| f.target) {
                self.use_permit(now, target);
            }
        }
    }

    /// Lets all waiting requests go on and holds no further ones, because the process is about to
    /// end.
    pub fn stop_holding(&mut self, now: MonoTime) {
        self.gate.is_closed = true;
        self.admit_all(now);
    }

    /// Lets all waiting requests go on.
    pub fn admit_all(&mut self, now: MonoTime) {
        let waiting = std::mem::take(&mut self.gate.waiting);
        for req in waiting.into_values().flat_map(WaitingRequests::into_all) {
            self.admit_now(now, &req.flow);
        }
    }

    /// Adapts the limit of a target to a response of it.
    pub(in crate::steering) fn record_congestion(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        index: TargetIndex,
        took: Duration,
        active: u32,
    ) {
        let route = self.routes.get(seg.flow.service);
        let Some(latency_target) = route.and_then(|r| r.latency_target) else {
            return;
        };
        let target = latency_target.as_secs_f32();
        let service = seg.flow.service;
        let baseline = self.gate.learn_baseline(now, service, took, latency_target);
        let cfg = &self.cfg.admission;
        let baseline = baseline.as_secs_f32();
        let slack = (target - baseline).max(baseline * MIN_SLACK);
        let tolerated = Duration::try_from_secs_f32(baseline + cfg.queueing_share * slack);
        let tolerated = tolerated.unwrap_or(Duration::MAX);
        let Some(record) = self.directory.get_mut(index) else {
            return;
        };
        let was_congested = record.limit.current().is_some();
        record
            .limit
            .record_response(cfg, now, took, tolerated, active);
        let limit = record.limit.current();
        if limit.is_some() != was_congested {
            let decision = Decision::Congestion {
                target: record.instance.name.clone(),
                limit,
                active,
                waiting: record.waiting_requests,
            };
            self.record_decision(decision);
        }
    }

    /// Lets waiting requests go on for which a target has room.
    ///
    /// Those whose callers have given up are dropped: they would take the room of others. A caller
    /// that waits on all the same retransmits, which starts a new wait.
    pub(in crate::steering) fn admit_waiting(&mut self, now: MonoTime, index: TargetIndex) {
        let Some(mut waiting) = self.gate.waiting.remove(&index) else {
            return;
        };
        let flows = &self.flows;
        waiting.retain(|req| {
            let flow = flows.get(&req.flow);
            flow.is_some_and(|f| f.phase == FlowPhase::Waiting && f.target == index)
        });
        while let Some(req) = waiting.pop_expired(now) {
            self.counters.requests_abandoned += 1;
            self.flows.abandon(&mut self.directory, &req.flow);
        }
        while !waiting.is_empty() {
            let Some(record) = self.directory.get_mut(index) else {
                break;
            };
            let cfg = &self.cfg.admission;
            let is_late = cfg.newest_first && !waiting.has_useful(now);
            let has_room = if is_late {
                record.limit.allows_late(now, record.active_requests)
            } else {
                record.limit.allows(record.active_requests)
            };
            if !has_room && !record.limit.is_stalled(now, STALL_TIMEOUT) {
                break;
            }
            record.limit.record_admitted(now, is_late);
            let next = if self.cfg.admission.newest_first {
                waiting.pop(now)
            } else {
                waiting.pop_oldest()
            };
            let Some(req) = next else {
                break;
            };
            self.admit_now(now, &req.flow);
        }
        if !waiting.is_empty() {
            self.gate.waiting.insert(index, waiting);
        }
    }

    /// Checks all waiting requests if that is due.
    pub(in crate::steering) fn check_waiting(&mut self, now: MonoTime) {
        if self.gate.next_check().is_none_or(|at| now < at) {
            return;
        }
        self.gate.next_check = now + CHECK_INTERVAL;
        let targets: Vec<TargetIndex> = self.gate.waiting.keys().copied().collect();
        for index in targets {
            self.admit_waiting(now, index);
        }
    }
}
