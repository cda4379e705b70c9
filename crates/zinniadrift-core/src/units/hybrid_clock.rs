use std::time::Duration;

use super::{HybridTime, MonoTime};

/// Issues hybrid times that rise and never fall behind those received from peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    /// The wall-clock time of the monotonic clock's origin, in microseconds.
    origin: u64,
    last: u64,
}

impl HybridClock {
    /// Returns a clock whose wall-clock time at `now` is `wall_micros`.
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

    /// Takes notice of a time received from a peer.
    pub fn observe(&mut self, time: HybridTime) {
        self.last = self.last.max(time.get());
    }

    /// Returns the time since `time`, or zero if it lies ahead.
    pub fn age(&self, now: MonoTime, time: HybridTime) -> Duration {
        Duration::from_micros(self.wall(now).saturating_sub(time.get()))
    }

    fn wall(&self, now: MonoTime) -> u64 {
        self.origin.saturating_add(now.as_micros())
    }
}
