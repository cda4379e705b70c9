use std::net::SocketAddrV4;
use std::time::Duration;

use crate::flow::FlowKey;
use crate::units::MonoTime;

use super::directory::TargetIndex;
use super::target_state::Presence;
use super::{Decision, ProbeResult, ResetReason, Steering};

/// Asks for a probe of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeRequest {
    /// The target's name.
    pub name: Box<str>,
    /// Where to connect to.
    pub address: SocketAddrV4,
}

/// Is a flow to reset because its target is dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowReset {
    /// The flow.
    pub flow: FlowKey,
    /// A sequence number that the caller accepts.
    pub seq: u32,
}

/// The time without an answer from any target after which the balancer itself may be cut off.
///
/// On the smallest site a balancer sees an answer every 20 ms.
const CUT_OFF_AFTER: Duration = Duration::from_millis(500);
/// The number of probes that wait to be made.
const PROBE_CAPACITY: usize = 16;

impl Steering {
    /// Asks for a probe of a target whose callers repeat their packets.
    pub(super) fn ask_for_probe(&mut self, now: MonoTime, index: TargetIndex) {
        let record = self.directory.get_mut(index);
        if record.is_some_and(|r| r.liveness.wants_probe(now)) {
            self.push_probe(index);
        }
    }

    /// Asks for a probe of a target that is missing in the store and has flows of this balancer.
    ///
    /// A host that refuses the connection settles at once that the target has ended.
    pub(super) fn ask_after_removal(&mut self, index: TargetIndex) {
        let record = self.directory.get(index);
        if record.is_some_and(|r| r.flows > 0) {
            self.push_probe(index);
        }
    }

    fn push_probe(&mut self, index: TargetIndex) {
        let Some(record) = self.directory.get(index) else {
            return;
        };
        if self.probes.len() < PROBE_CAPACITY {
            self.probes.push(ProbeRequest {
                name: record.instance.name.clone(),
                address: record.instance.address,
            });
        }
    }

    /// Takes the probes to make.
    pub fn take_probes(&mut self) -> impl Iterator<Item = ProbeRequest> + '_ {
        self.probes.drain(..)
    }

    /// Takes the result of a probe and returns the flows to reset.
    ///
    /// A probe that fails while this balancer hears from no target at all says nothing about the
    /// target: the balancer itself may be cut off. Nor do probes that fail for most targets of a
    /// service: then it is rather the probes that cannot get through.
    pub fn on_probe(&mut self, now: MonoTime, name: &str, result: ProbeResult) -> Vec<FlowReset> {
        let Some(index) = self.directory.find_name(name) else {
            return Vec::new();
        };
        let result = match result {
            ProbeResult::Accepted if self.directory.has_successor(index) => {
                ProbeResult::AddressReused
            }
            other => other,
        };
        let cut_off = now.since(self.last_answer) > CUT_OFF_AFTER;
        let doubtful = cut_off || self.directory.is_mostly_dead_without(index);
        let judged = match result {
            ProbeResult::Refused | ProbeResult::TimedOut | ProbeResult::AddressReused
                if doubtful =>
            {
                ProbeResult::Inconclusive
            }
            other => other,
        };
        let Some(record) = self.directory.get_mut(index) else {
            return Vec::new();
        };
        let is_lapsed = matches!(record.presence, Presence::Lapsed { .. });
        let is_vacant = matches!(result, ProbeResult::Refused | ProbeResult::AddressReused);
        let has_ended = is_lapsed && is_vacant;
        if has_ended {
            record.presence = Presence::Gone { at: now };
        }
        let died = record.liveness.on_probe(judged) || has_ended;
        let dead = record.liveness.is_dead() || has_ended;
        self.note(Decision::Probed {
            target: name.into(),
            result,
            dead,
        });
        if !died {
            return Vec::new();
        }
        let abandoned = self.flows.abandon(&mut self.directory, index);
        let reason = if has_ended {
            ResetReason::TargetGone
        } else {
            ResetReason::TargetSilent
        };
        *self.counters.reset_mut(reason) += abandoned.len() as u64;
        let abandoned = abandoned.into_iter();
        abandoned
            .map(|(flow, seq)| FlowReset { flow, seq })
            .collect()
    }
}
