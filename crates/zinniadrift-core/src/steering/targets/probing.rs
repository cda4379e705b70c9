use std::net::SocketAddrV4;
use std::time::Duration;

use crate::flow::FlowKey;
use crate::units::MonoTime;

use crate::steering::directory::target_directory::TargetIndex;
use crate::steering::targets::target_record::Presence;
use crate::steering::{Decision, ProbeResult, ResetReason, Steering};

/// A target to probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeRequest {
    /// The target's name.
    pub name: Box<str>,
    /// The address to connect to.
    pub address: SocketAddrV4,
}

/// A flow to reset because its target is dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowReset {
    /// The flow.
    pub flow: FlowKey,
    /// A sequence number that the caller accepts.
    pub seq: u32,
}

/// The time without a response from any target after which the balancer itself may be isolated.
///
/// On the smallest site a balancer sees a response every 20 ms.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of queued probes.
const PROBE_CAPACITY: usize = 16;

impl Steering {
    /// Queues a probe of a target whose callers retransmit, or that is dead, if one is due.
    pub(in crate::steering) fn queue_probe_if_due(&mut self, now: MonoTime, index: TargetIndex) {
        let record = self.directory.get_mut(index);
        if record.is_some_and(|r| r.liveness.should_probe(now)) {
            self.queue_probe(index);
        }
    }

    /// Queues a probe of a target that the store no longer lists and that has flows of this
    /// balancer.
    ///
    /// If its host refuses the connection, the target has certainly ended.
    pub(in crate::steering) fn queue_probe_after_removal(&mut self, index: TargetIndex) {
        let record = self.directory.get(index);
        if record.is_some_and(|r| r.open_flows > 0) {
            self.queue_probe(index);
        }
    }

    fn queue_probe(&mut self, index: TargetIndex) {
        let Some(record) = self.directory.get(index) else {
            return;
        };
        if self.cfg.probes && self.probes.len() < PROBE_CAPACITY {
            self.probes.push(ProbeRequest {
                name: record.instance.name.clone(),
                address: record.instance.address,
            });
        }
    }

    /// Takes the queued probes.
    pub fn take_probes(&mut self) -> impl Iterator<Item = ProbeRequest> + '_ {
        self.probes.drain(..)
    }

    /// Records the result of a probe and returns the flows to reset.
    ///
    /// A failed probe proves nothing about the target while this balancer gets no response from any
    /// target: the balancer itself may be isolated. The same holds if most targets of a service
    /// would count as dead: it is more likely that the probes do not get through.
    pub fn on_probe(&mut self, now: MonoTime, name: &str, result: ProbeResult) -> Vec<FlowReset> {
        let Some(index) = self.directory.find_by_name(name) else {
            return Vec::new();
        };
        let owner = self.directory.new_owner(index, &self.routes);
        let owner = owner.map(|r| r.instance.name.clone());
        let result = match result {
            ProbeResult::Accepted if owner.is_some() => ProbeResult::AddressReused,
            other => other,
        };
        let is_isolated = now.since(self.last_response) > ISOLATION_TIMEOUT;
        let is_doubtful = is_isolated || self.directory.is_majority_dead_with(index);
        let credible_result = match result {
            ProbeResult::Refused | ProbeResult::TimedOut | ProbeResult::AddressReused
                if is_doubtful =>
            {
                ProbeResult::Inconclusive
            }
            other => other,
        };
        let Some(record) = self.directory.get_mut(index) else {
            return Vec::new();
        };
        let is_lapsed = matches!(record.presence, Presence::Lapsed { .. });
        let has_left_address = matches!(result, ProbeResult::Refused | ProbeResult::AddressReused);
        let has_ended = is_lapsed && has_left_address;
        if has_ended {
            record.presence = Presence::Gone {
                at: now,
                confirmed: now,
            };
        }
        let newly_dead = record.liveness.on_probe(credible_result) || has_ended;
        let dead = record.liveness.is_dead() || has_ended;
        if has_ended {
            self.remember_flows(index);
        }
        self.record_decision(Decision::Probed {
            target: name.into(),
            result,
            owner,
            dead,
        });
        if !newly_dead {
            return Vec::new();
        }
        let closed = self.flows.close_awaiting(&mut self.directory, index);
        let reason = if has_ended {
            ResetReason::TargetGone
        } else {
            ResetReason::TargetSilent
        };
        *self.counters.reset_mut(reason) += closed.len() as u64;
        let closed = closed.into_iter();
        closed.map(|(flow, seq)| FlowReset { flow, seq }).collect()
    }
}
