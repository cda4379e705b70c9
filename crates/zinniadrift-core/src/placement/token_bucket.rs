use std::time::Duration;

use crate::units::MonoTime;

/// A token bucket that may go into debt.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl TokenBucket {
    /// Returns a full bucket that refills at `rate` tokens per second, up to `burst` tokens.
    ///
    /// A negative rate counts as zero, and a burst below one token as one.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate: rate.max(0.0),
            burst: burst.max(1.0),
            tokens: burst.max(1.0),
            refilled_at: MonoTime::default(),
        }
    }

    /// Takes `n` tokens if that many are available, and returns whether it did.
    pub fn take(&mut self, now: MonoTime, n: f64) -> bool {
        self.refill(now);
        if self.tokens < n {
            return false;
        }
        self.tokens -= n;
        true
    }

    /// Takes `n` tokens even if too few are available; the debt delays later calls.
    pub fn charge(&mut self, now: MonoTime, n: f64) {
        self.refill(now);
        self.tokens -= n;
    }

    /// Returns the earliest time at which the bucket has no debt; the largest time if it never
    /// refills.
    pub fn ready_at(&mut self, now: MonoTime) -> MonoTime {
        self.refill(now);
        if self.tokens >= 0.0 {
            return now;
        }
        if self.rate <= 0.0 {
            return MonoTime::from_micros(u64::MAX);
        }
        now + Duration::from_secs_f64(-self.tokens / self.rate) + Duration::from_micros(1)
    }

    fn refill(&mut self, now: MonoTime) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
