use std::time::Duration;

use super::{HybridTime, MonoTime};

/// A hybrid logical clock: it follows the member's wall clock, issues strictly increasing times and
/// never falls behind a time received from a peer.
///
/// Its times order changes of flow entries; the events of the time line have a clock of their own.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    /// The wall-clock time of the monotonic clock's origin, in microseconds.
    origin: u64,
    /// The latest time issued or observed, in microseconds.
    last: u64,
}

impl HybridClock {
    /// Returns a clock whose wall-clock time at `now` is `wall_micros` microseconds.
    pub fn new(wall_micros: u64, now: MonoTime) -> Self {
        Self {
            origin: wall_micros.saturating_sub(now.as_micros()),
            last: 0,
        }
    }

    /// Returns a time after all times issued and observed.
    pub fn issue(&mut self, now: MonoTime) -> HybridTime {
        self.last = self.wall(now).max(self.last + 1);
        self.last.into()
    }

    /// Records a time received from a peer; times issued later are above it.
    pub fn observe(&mut self, time: HybridTime) {
        self.last = self.last.max(time.get());
    }

    /// Returns the time since `time`, or zero if `time` is in the future.
    pub fn age(&self, now: MonoTime, time: HybridTime) -> Duration {
        Duration::from_micros(self.wall(now).saturating_sub(time.get()))
    }

    fn wall(&self, now: MonoTime) -> u64 {
        self.origin.saturating_add(now.as_micros())
    }
}
