use std::time::Duration;

use crate::units::MonoTime;

/// Detects that the process did not run for a while: the process was stopped or its host suspended.
///
/// The monotonic clock includes the time in which a process is stopped, but not the time in which
/// the host is suspended, so the latter is passed separately.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_iteration: MonoTime,
    suspended: Duration,
}

/// The time between two iterations of the loop from which the process counts as paused; the loop
/// iterates every half second.
const STOP_THRESHOLD: Duration = Duration::from_millis(1_500);
/// The minimum increase of the suspended time that counts as a pause; it is computed from two
/// clocks that are not read at the same instant.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(500);

impl PauseDetector {
    /// Returns a detector that starts at `now`; `suspended` is the host's total suspended time so
    /// far.
    pub const fn new(now: MonoTime, suspended: Duration) -> Self {
        Self {
            last_iteration: now,
            suspended,
        }
    }

    /// Returns how long the process was paused before this iteration, if it was.
    pub fn begin_iteration(&mut self, now: MonoTime, suspended: Duration) -> Option<Duration> {
        let stopped = now.since(self.last_iteration);
        let newly_suspended = suspended.saturating_sub(self.suspended);
        self.last_iteration = now;
        self.suspended = suspended;
        let paused = stopped >= STOP_THRESHOLD || newly_suspended >= SUSPEND_THRESHOLD;
        paused.then_some(stopped + newly_suspended)
    }

    /// Records the end of an iteration, so that the iteration's own duration does not count as a
    /// pause.
    pub fn end_iteration(&mut self, now: MonoTime) {
        self.last_iteration = now;
    }
}
