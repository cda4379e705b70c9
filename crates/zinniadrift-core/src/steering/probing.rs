use std::net::SocketAddrV4;
use std::time::Duration;

use crate::flow::FlowKey;
use crate::units::MonoTime;

use super::directory::TargetIndex;
use super::silent_reports::REPORT_LIFE;
use super::target_state::Presence;
use super::{Decision, ProbeResult, ResetReason, SilentTarget, Steering};

/// Asks for a probe of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetProbe {
    /// The target's name.
    pub name: Box<str>,
    /// Where to connect to.
    pub address: SocketAddrV4,
}

/// Is a flow to reset because its target is dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AbandonedFlow {
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

    /// Takes reports of peers about targets that they found dead.
    ///
    /// Such a target gets no new flows for a while. It is probed if it has flows of this balancer,
    /// which are reset only if that probe fails too.
    pub fn on_reports(&mut self, now: MonoTime, reports: Vec<SilentTarget>) {
        for report in reports {
            let at = now - report.age;
            if now >= at + REPORT_LIFE || !self.silent.note(&report.name, at) {
                continue;
            }
            let Some(index) = self.directory.find_name(&report.name) else {
                continue;
            };
            if let Some(record) = self.directory.get_mut(index) {
                record.note_report(at);
                if record.flows > 0 {
                    self.ask_for_probe(now, index);
                }
            }
        }
    }

    /// Returns the targets that this balancer or a peer found dead lately.
    pub fn silent_targets(&self, now: MonoTime) -> Vec<SilentTarget> {
        self.silent.current(now)
    }

    /// Returns the number of reports so far that peers should know.
    pub const fn reports(&self) -> u64 {
        self.silent.news()
    }

    fn push_probe(&mut self, index: TargetIndex) {
        let Some(record) = self.directory.get(index) else {
            return;
        };
        if self.probes.len() < PROBE_CAPACITY {
            self.probes.push(TargetProbe {
                name: record.instance.name.clone(),
                address: record.instance.address,
            });
        }
    }

    /// Takes the probes to make.
    pub fn take_probes(&mut self) -> impl Iterator<Item = TargetProbe> + '_ {
        self.probes.drain(..)
    }

    /// Takes the result of a probe and returns the flows to reset.
    ///
    /// A probe that fails while this balancer hears from no target at all says nothing about the
    /// target: the balancer itself may be cut off. Nor do probes that fail for most targets of a
    /// service: then it is rather the probes that cannot get through.
    pub fn on_probe(
        &mut self,
        now: MonoTime,
        name: &str,
        result: ProbeResult,
    ) -> Vec<AbandonedFlow> {
        let Some(index) = self.directory.find_name(name) else {
            return Vec::new();
        };
        // The later owner of an address accepts connections there.
        let result = match result {
            ProbeResult::Accepted if self.directory.has_successor(index) => ProbeResult::Refused,
            other => other,
        };
        let cut_off = now.since(self.last_answer) > CUT_OFF_AFTER;
        let doubtful = cut_off || self.directory.is_mostly_dead_without(index);
        let judged = match result {
            ProbeResult::Refused | ProbeResult::Silent if doubtful => ProbeResult::NotMade,
            other => other,
        };
        let Some(record) = self.directory.get_mut(index) else {
            return Vec::new();
        };
        // Targets of a zone that cannot be reached from here may serve others.
        let zone = &record.instance.zone;
        let is_cut_off = *zone != self.cfg.zone && self.zones.is_avoided(zone, now);
        let is_lapsed = matches!(record.presence, Presence::Lapsed { .. });
        let has_ended = is_lapsed && result == ProbeResult::Refused;
        if has_ended {
            record.presence = Presence::Gone { at: now };
        }
        if judged == ProbeResult::Accepted && record.liveness.is_reported() {
            record.note_connection(now);
        }
        let died = record.liveness.on_probe(judged) || has_ended;
        let dead = record.liveness.is_dead() || has_ended;
        if dead && !is_cut_off {
            self.silent.note(name, now);
        } else if judged == ProbeResult::Accepted {
            self.silent.forget(name);
        }
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
            .map(|(flow, seq)| AbandonedFlow { flow, seq })
            .collect()
    }
}
