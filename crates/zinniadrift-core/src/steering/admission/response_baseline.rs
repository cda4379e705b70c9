use std::time::Duration;

use crate::units::MonoTime;

/// The response time of a route's requests without congestion, as this balancer observes it.
///
/// It includes the network and the caller's delay of acknowledgements. The baseline falls with the
/// average response time at once and follows it upwards slowly, so that a burst does not raise it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseBaseline {
    /// The moving average of the response time in seconds.
    average_s: f32,
    baseline_s: f32,
    samples: u32,
    last_sample: MonoTime,
}

/// The weight of a new sample in the average: about the last 32 responses count.
const SAMPLE_WEIGHT: f32 = 1.0 / 32.0;
/// The number of samples from which the baseline is known.
const MIN_SAMPLES: u32 = 32;
/// The time in seconds in which the baseline follows a lasting rise of the average.
const RISE_TIME_S: f32 = 60.0;
/// The baseline before enough samples, as a share of the route's latency target.
const INITIAL_SHARE: f32 = 0.4;

impl ResponseBaseline {
    /// Records a response time.
    pub(crate) fn record(&mut self, now: MonoTime, took: Duration) {
        let took_s = took.as_secs_f32();
        self.samples = self.samples.saturating_add(1);
        // The first samples have equal weights.
        let weight = SAMPLE_WEIGHT.max(1.0 / self.samples as f32);
        self.average_s += weight * (took_s - self.average_s);
        if self.samples <= MIN_SAMPLES || self.average_s < self.baseline_s {
            self.baseline_s = self.average_s;
        } else {
            let share = (now.since(self.last_sample).as_secs_f32() / RISE_TIME_S).min(1.0);
            self.baseline_s += share * (self.average_s - self.baseline_s);
        }
        self.last_sample = now;
    }

    /// Returns the baseline; until it is known, at most a share of `latency_target`.
    pub(crate) fn get(&self, latency_target: Duration) -> Duration {
        let initial_s = INITIAL_SHARE * latency_target.as_secs_f32();
        let baseline_s = match self.samples {
            0 => initial_s,
            n if n < MIN_SAMPLES => self.baseline_s.min(initial_s),
            _ => self.baseline_s,
        };
        Duration::from_secs_f32(baseline_s)
    }
}
