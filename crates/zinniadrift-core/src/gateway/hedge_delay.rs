use std::time::Duration;

/// The distribution of a route's response times, from which the delay of second attempts is read.
///
/// A first attempt that is cancelled counts with the time that it had taken, which is at least the
/// delay, so that cancelling slow attempts does not lower the learned percentile.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    counts: Vec<u32>,
    total: u32,
}

/// The response time at the upper end of the first bucket.
const SMALLEST: Duration = Duration::from_micros(100);
/// The number of buckets per doubling, for a precision of 9%.
const STEPS_PER_DOUBLING: f64 = 8.0;
/// The number of buckets; the last one ends at about an hour.
const BUCKETS: usize = 202;
/// The number of response times that are needed before a percentile counts as learned.
const MIN_SAMPLES: u32 = 100;
/// The number of response times at which all counts are halved, so that newer ones weigh more.
const HALVE_AT: u32 = 4_000;

impl Default for HedgeDelay {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }
}

impl HedgeDelay {
    /// Records a response time.
    pub fn record(&mut self, time: Duration) {
        self.counts[bucket_of(time)] += 1;
        self.total += 1;
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|n| *n /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns the percentile, from 0 to 100, rounded up to its bucket; `None` until enough response
    /// times are known.
    pub fn percentile(&self, percentile: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (f64::from(self.total) * percentile / 100.0).ceil() as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|n| {
            seen += n;
            seen >= rank
        })?;
        Some(SMALLEST.mul_f64((bucket as f64 / STEPS_PER_DOUBLING).exp2()))
    }
}

fn bucket_of(time: Duration) -> usize {
    let ratio = time.as_secs_f64() / SMALLEST.as_secs_f64();
    let bucket = (ratio.max(1.0).log2() * STEPS_PER_DOUBLING).ceil();
    (bucket as usize).min(BUCKETS - 1)
}
