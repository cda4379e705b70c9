use std::time::Duration;

use crate::units::MonoTime;

use super::AdmissionSettings;

/// The number of a balancer's requests that a target may have at once.
///
/// The limit falls while responses are delayed by a queue at the target and rises while they are
/// not and requests wait. Balancers that share a target see the same delay, so each takes its share
/// without knowing of the others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    /// The limit in requests; `None` while the target is not congested.
    limit: Option<f32>,
    /// The moving average of the response time, relative to the tolerated response time.
    pressure: f32,
    /// The number of responses that `pressure` is the average of, at most [`MIN_SAMPLES`].
    samples: u32,
    /// The pressure that remains while the limit is at its lowest. It does not come from a queue of
    /// this balancer's requests: the target itself is slow.
    slowness: f32,
    next_decrease: MonoTime,
    /// When the limit last kept a request waiting.
    last_binding: MonoTime,
    /// When the target last responded or was last sent a request that had waited.
    last_progress: MonoTime,
    /// When the target was last sent a request that can no longer meet its latency target.
    last_late: MonoTime,
}

/// The weight of a new sample of the pressure: about the last four responses count.
const SAMPLE_WEIGHT: f32 = 0.25;
/// The upper limit of a sample, so that a single slow response is not taken for a queue.
const MAX_SAMPLE: f32 = 4.0;
/// The number of responses before which there is no limit.
const MIN_SAMPLES: u32 = 4;
/// The weight of a new sample of the slowness: about the last fifty responses count.
const SLOWNESS_WEIGHT: f32 = 0.02;
/// The pressure that is tolerated of a slow target, as a factor of its slowness.
const SLOWNESS_MARGIN: f32 = 1.3;
/// The time after which another late request goes on although timely ones are delayed.
const LATE_INTERVAL: Duration = Duration::from_secs(1);
/// The time without a waiting request after which the limit is lifted.
const RELAX_TIMEOUT: Duration = Duration::from_secs(2);

impl ConcurrencyLimit {
    pub(crate) fn new() -> Self {
        Self {
            limit: None,
            pressure: 0.0,
            samples: 0,
            slowness: 0.0,
            next_decrease: MonoTime::default(),
            last_binding: MonoTime::default(),
            last_progress: MonoTime::default(),
            last_late: MonoTime::default(),
        }
    }

    /// Returns whether another request may go to the target while `active` are there.
    pub(crate) fn allows(&self, active: u32) -> bool {
        self.limit.is_none_or(|limit| (active as f32) < limit)
    }

    /// Returns the recent response time relative to the one that is tolerated of this target.
    fn pressure(&self) -> f32 {
        self.pressure / (self.slowness * SLOWNESS_MARGIN).max(1.0)
    }

    /// Returns the limit in requests, if there is one.
    pub(crate) fn current(&self) -> Option<f32> {
        self.limit
    }

    /// Records that a request waits.
    pub(crate) fn record_waiting(&mut self, now: MonoTime) {
        self.last_binding = now;
    }

    /// Records that a request that had waited was sent; `is_late` if it can no longer meet its
    /// latency target.
    pub(crate) fn record_admitted(&mut self, now: MonoTime, is_late: bool) {
        self.last_progress = now;
        if is_late {
            self.last_late = now;
        }
    }

    /// Returns whether another request that can no longer meet its latency target may go to the
    /// target while `active` are there.
    pub(crate) fn allows_late(&self, now: MonoTime, active: u32) -> bool {
        let is_due = now.since(self.last_late) > LATE_INTERVAL;
        self.allows(active) && (is_due || self.pressure() <= 1.0)
    }

    /// Returns whether the target has neither responded nor been sent a waiting request for
    /// `timeout`, so that the requests that it has may be lost.
    pub(crate) fn is_stalled(&self, now: MonoTime, timeout: Duration) -> bool {
        now.since(self.last_progress) > timeout
    }

    /// Adapts the limit to a response.
    ///
    /// `took` is the response time, `tolerated` the one up to which the target does not count as
    /// congested, and `active` the number of requests that the target had. By Little's law the
    /// response time follows the number of requests, so the limit falls in proportion.
    pub(crate) fn record_response(
        &mut self,
        cfg: &AdmissionSettings,
        now: MonoTime,
        took: Duration,
        tolerated: Duration,
        active: u32,
    ) {
        self.last_progress = now;
        let sample = took.as_secs_f32() / tolerated.as_secs_f32().max(f32::EPSILON);
        self.pressure += SAMPLE_WEIGHT * (sample.min(MAX_SAMPLE) - self.pressure);
        self.samples = self.samples.saturating_add(1).min(MIN_SAMPLES);
        if self.samples < MIN_SAMPLES {
            return;
        }
        if self.limit.is_some_and(|limit| limit <= cfg.min_limit) {
            self.slowness += SLOWNESS_WEIGHT * (self.pressure - self.slowness);
        }
        let pressure = self.pressure();
        if pressure > 1.0 {
            if now >= self.next_decrease {
                let reached = active as f32;
                let limit = self.limit.map_or(reached, |limit| limit.min(reached));
                let factor = (1.0 / pressure).clamp(cfg.max_decrease, 1.0);
                let is_severe = pressure >= cfg.severe_pressure;
                let floor = if is_severe { 1.0 } else { cfg.min_limit };
                self.limit = Some((limit * factor).max(floor));
                self.last_binding = now;
                self.next_decrease = now + took;
            }
            return;
        }
        let Some(limit) = self.limit else {
            return;
        };
        if now.since(self.last_binding) > RELAX_TIMEOUT {
            self.limit = None;
            self.slowness = 0.0;
        } else if active as f32 + 1.0 >= limit {
            self.limit = Some(limit + 1.0 / limit);
        }
    }
}
