use std::time::Duration;

use crate::units::MonoTime;

/// Limits a rate while it allows short bursts.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: MonoTime,
}

impl TokenBucket {
    /// Returns a full bucket that gains `rate` tokens per second up to `burst`.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate: rate.max(0.0),
            burst: burst.max(1.0),
            level: burst.max(1.0),
            at: MonoTime::default(),
        }
    }

    /// Takes `n` tokens if there are as many.
    pub fn take(&mut self, now: MonoTime, n: f64) -> bool {
        self.refill(now);
        if self.level < n {
            return false;
        }
        self.level -= n;
        true
    }

    /// Takes `n` tokens even if that leaves a debt, which later calls must wait for.
    pub fn charge(&mut self, now: MonoTime, n: f64) {
        self.refill(now);
        self.level -= n;
    }

    /// Returns the first time at which the bucket holds no debt.
    pub fn ready_at(&mut self, now: MonoTime) -> MonoTime {
        self.refill(now);
        if self.level >= 0.0 {
            return now;
        }
        if self.rate <= 0.0 {
            return MonoTime::from_micros(u64::MAX);
        }
        now + Duration::from_secs_f64(-self.level / self.rate) + Duration::from_micros(1)
    }

    fn refill(&mut self, now: MonoTime) {
        let gained = now.since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = self.at.max(now);
    }
}
