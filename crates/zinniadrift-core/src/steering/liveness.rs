use std::time::Duration;

use derive_more::Display;

use crate::units::MonoTime;

/// Judges from callers' packets and probes whether a target still answers.
///
/// Callers repeat what a dead target does not answer, long before its entry lapses in the store.
/// Repeats alone are weak evidence, since slow work looks the same. They cause a probe; only a probe
/// that fails too makes a target count as dead.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    /// Repeats of requests and openings since the last sign of life.
    repeats: u32,
    next_probe: MonoTime,
    is_dead: bool,
    /// Whether it was dead since the last answer to a caller.
    has_died: bool,
}

/// Tells how a target answered a probe.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum ProbeResult {
    /// It accepted a connection.
    Accepted,
    /// Its host refused the connection: nothing listens there.
    Refused,
    /// There was no answer in time.
    #[display("silent")]
    TimedOut,
    /// It was accepted, but a later entry names the address: the next owner answered.
    #[display("next-owner")]
    AddressReused,
    /// The probe could not be made.
    #[display("not-made")]
    Inconclusive,
}

/// The number of repeats that cause a probe: two flows with one, or one flow with two.
const REPEATS: u32 = 2;
/// The pause between two probes of one target.
const PROBE_PAUSE: Duration = Duration::from_secs(1);

impl Liveness {
    /// Records that a caller repeated something that the target has not answered.
    pub(crate) fn note_repeat(&mut self) {
        self.repeats = self.repeats.saturating_add(1);
    }

    /// Records an answer to a caller.
    pub(crate) fn note_answer(&mut self) {
        self.note_connection();
        self.has_died = false;
    }

    /// Records that something accepts connections at the target's address.
    fn note_connection(&mut self) {
        self.repeats = 0;
        self.is_dead = false;
    }

    /// Tells whether to probe now; a dead target is probed again until it answers.
    pub(crate) fn wants_probe(&mut self, now: MonoTime) -> bool {
        let wanted = (self.repeats >= REPEATS || self.is_dead) && now >= self.next_probe;
        if wanted {
            self.next_probe = now + PROBE_PAUSE;
        }
        wanted
    }

    /// Takes the result of a probe; tells whether the target counts as dead from now on.
    pub(crate) fn on_probe(&mut self, result: ProbeResult) -> bool {
        match result {
            ProbeResult::Accepted => self.note_connection(),
            ProbeResult::Refused | ProbeResult::TimedOut | ProbeResult::AddressReused
                if self.repeats >= REPEATS =>
            {
                self.has_died = true;
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

    /// Tells whether the target was dead and has not answered a caller since.
    pub(crate) const fn has_died(&self) -> bool {
        self.has_died
    }

    /// Tells whether the target counts as dead.
    pub(crate) const fn is_dead(&self) -> bool {
        self.is_dead
    }
}
