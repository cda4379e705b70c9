use std::time::Duration;

use crate::units::MonoTime;

/// A token bucket that limits the rate of platform writes.
#[derive(Clone, Copy, Debug)]
pub struct WritePacer {
    tokens: f64,
    updated_at: MonoTime,
}

/// The time over which unused tokens accumulate. A short time keeps bursts small, so that claims
/// that arrive together share a write.
const BURST_TIME: Duration = Duration::from_millis(100);

impl WritePacer {
    /// Returns a pacer with one token.
    pub const fn new() -> Self {
        Self {
            tokens: 1.0,
            updated_at: MonoTime::from_micros(0),
        }
    }

    /// Takes the token for one write at `rate` writes per second.
    ///
    /// # Errors
    ///
    /// Returns the time at which to try again if no token is available.
    pub fn take(&mut self, now: MonoTime, rate: f64) -> Result<(), MonoTime> {
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let earned = now.since(self.updated_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(burst);
        self.updated_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / rate.max(0.1);
        // The extra microsecond offsets rounding down, which would wake the writer too early.
        Err(now + Duration::from_secs_f64(missing) + Duration::from_micros(1))
    }
}

impl Default for WritePacer {
    fn default() -> Self {
        Self::new()
    }
}
