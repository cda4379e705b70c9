use std::time::Duration;

use derive_more::Display;

use crate::units::MonoTime;

/// Failure detection for a target from callers' packets and probes.
///
/// Callers retransmit when a dead target does not respond, long before its entry lapses in the
/// store. Retransmissions alone are weak evidence, since a slow request causes them too. They
/// trigger a probe; only a failed probe in addition makes the target count as dead.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    /// The retransmitted requests and opening packets since the last sign of life.
    retransmissions: u32,
    next_probe: MonoTime,
    is_dead: bool,
    /// Whether the target was dead at any time since its last response to a caller.
    died_since_response: bool,
    /// The time of its last response to a caller.
    last_response: Option<MonoTime>,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum ProbeResult {
    /// The target accepted a connection.
    Accepted,
    /// The target's host refused the connection: nothing listens there.
    Refused,
    /// No connection was made in time.
    #[display("silent")]
    TimedOut,
    /// The connection was accepted, but by a newer target that is registered at the same address.
    #[display("next-owner")]
    AddressReused,
    /// The probe could not be made, or its failure proves nothing about the target.
    #[display("not-made")]
    Inconclusive,
}

/// The retransmissions that trigger a probe: one on each of two flows, or two on one flow.
const PROBE_THRESHOLD: u32 = 2;
/// The time between two probes of a target.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl Liveness {
    /// Records that a caller retransmitted a packet to which the target has not responded.
    pub(crate) fn record_retransmission(&mut self) {
        self.retransmissions = self.retransmissions.saturating_add(1);
    }

    /// Records a response to a caller.
    pub(crate) fn record_response(&mut self, now: MonoTime) {
        self.record_connection();
        self.died_since_response = false;
        self.last_response = Some(now);
    }

    /// Records that a connection to the target's address was accepted.
    fn record_connection(&mut self) {
        self.retransmissions = 0;
        self.is_dead = false;
    }

    /// Returns whether to probe now, and schedules the next probe if so; a dead target is probed
    /// until it responds.
    pub(crate) fn should_probe(&mut self, now: MonoTime) -> bool {
        let wanted =
            (self.retransmissions >= PROBE_THRESHOLD || self.is_dead) && now >= self.next_probe;
        if wanted {
            self.next_probe = now + PROBE_INTERVAL;
        }
        wanted
    }

    /// Records the result of a probe; returns whether the target has just become dead.
    pub(crate) fn on_probe(&mut self, result: ProbeResult) -> bool {
        match result {
            ProbeResult::Accepted => self.record_connection(),
            ProbeResult::Refused | ProbeResult::TimedOut | ProbeResult::AddressReused
                if self.retransmissions >= PROBE_THRESHOLD =>
            {
                self.died_since_response = true;
                let was_dead = std::mem::replace(&mut self.is_dead, true);
                return !was_dead;
            }
            ProbeResult::Refused
            | ProbeResult::TimedOut
            | ProbeResult::AddressReused
            | ProbeResult::Inconclusive => {}
        }
        false
    }

    /// Returns whether the target died and has not responded to a caller since.
    pub(crate) const fn died_since_response(&self) -> bool {
        self.died_since_response
    }

    /// Returns the time of the last response to a caller.
    pub(crate) const fn last_response(&self) -> Option<MonoTime> {
        self.last_response
    }

    /// Returns whether the target counts as dead.
    pub(crate) const fn is_dead(&self) -> bool {
        self.is_dead
    }
}
