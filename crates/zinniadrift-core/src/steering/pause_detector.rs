use std::time::Duration;

use crate::units::MonoTime;

/// Notices that the process stood still, whether its host was suspended or only the process.
///
/// The steady clock counts the time of a stopped process, but not that of a suspended host, which
/// is given apart.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_turn: MonoTime,
    suspended: Duration,
}

/// The time without a turn of the loop from which the process counts as paused; the loop turns
/// every half second.
const STOPPED: Duration = Duration::from_millis(1_500);
/// The growth of the suspended time that counts; its two clocks are read one after the other.
const SUSPENDED: Duration = Duration::from_millis(500);

impl PauseDetector {
    /// Starts at `now`, when the host had been suspended for `suspended` since its start.
    pub const fn new(now: MonoTime, suspended: Duration) -> Self {
        Self {
            last_turn: now,
            suspended,
        }
    }

    /// Returns how long the process stood still before this turn, if it did.
    pub fn begin_iteration(&mut self, now: MonoTime, suspended: Duration) -> Option<Duration> {
        let stopped = now.since(self.last_turn);
        let asleep = suspended.saturating_sub(self.suspended);
        self.last_turn = now;
        self.suspended = suspended;
        let paused = stopped >= STOPPED || asleep >= SUSPENDED;
        paused.then_some(stopped + asleep)
    }

    /// Records the end of a turn, which may have taken long itself.
    pub fn end_iteration(&mut self, now: MonoTime) {
        self.last_turn = now;
    }
}
