use std::time::Duration;

use crate::units::MonoTime;

/// Limits the rate of platform writes by a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct WritePacer {
    tokens: f64,
    updated: MonoTime,
}

/// The time over which unused writes accumulate. A short one keeps bursts small, so that claims
/// that arrive together share a write.
const BURST_TIME: Duration = Duration::from_millis(100);

impl WritePacer {
    /// Returns a pacer with one write available.
    pub const fn new() -> Self {
        Self {
            tokens: 1.0,
            updated: MonoTime::from_micros(0),
        }
    }

    /// Takes one write at `rate` writes per second, or returns the time at which to try again.
    pub fn take(&mut self, now: MonoTime, rate: f64) -> Result<(), MonoTime> {
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let earned = now.since(self.updated).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(burst);
        self.updated = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / rate.max(0.1);
        // One microsecond more, because rounding down would wake the writer too early.
        Err(now + Duration::from_secs_f64(missing) + Duration::from_micros(1))
    }
}

impl Default for WritePacer {
    fn default() -> Self {
        Self::new()
    }
}
