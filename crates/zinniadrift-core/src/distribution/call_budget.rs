use std::time::Duration;

use crate::units::MonoTime;

/// A token bucket that limits the rate of platform calls.
#[derive(Clone, Debug)]
pub(super) struct CallBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl CallBudget {
    /// Returns a full bucket that refills at `rate` calls per second, up to `burst` calls.
    pub(super) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at: MonoTime::default(),
        }
    }

    /// Takes one token, or returns the time at which one is available.
    pub(super) fn take(&mut self, now: MonoTime) -> Result<(), MonoTime> {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / self.rate;
        // The time is rounded up, so that the bucket then holds a whole token.
        Err(now + Duration::from_secs_f64(missing) + Duration::from_micros(1))
    }
}
