use std::time::Duration;

use crate::units::MonoTime;

use super::RefusalSettings;

/// The refusals of a target among its responses to this balancer's callers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RefusalHistory {
    /// The refusals since the last regular response.
    in_a_row: u32,
    backoff_until: MonoTime,
    /// The moving average of the share of refusals.
    share: f32,
    last_refusal: MonoTime,
}

/// The weight of a response in the share of refusals: about the last eight responses count.
const SAMPLE_WEIGHT: f32 = 0.125;
/// The age of the last refusal beyond which the share is ignored, so that a target that has
/// recovered is tried again.
const MAX_SHARE_AGE: Duration = Duration::from_secs(5);
/// The maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 10;

impl RefusalHistory {
    /// Records that the target refused a request.
    pub(crate) fn record_refusal(&mut self, now: MonoTime, cfg: &RefusalSettings) {
        self.expire_share(now);
        let doublings = self.in_a_row.min(MAX_DOUBLINGS);
        let backoff = cfg.min_backoff * (1 << doublings);
        self.backoff_until = now + backoff.min(cfg.max_backoff);
        self.in_a_row = self.in_a_row.saturating_add(1);
        self.share += SAMPLE_WEIGHT * (1.0 - self.share);
        self.last_refusal = now;
    }

    /// Records a regular response.
    pub(crate) fn record_success(&mut self, now: MonoTime) {
        self.expire_share(now);
        self.in_a_row = 0;
        self.share -= SAMPLE_WEIGHT * self.share;
    }

    fn expire_share(&mut self, now: MonoTime) {
        if now.since(self.last_refusal) > MAX_SHARE_AGE {
            self.share = 0.0;
        }
    }

    /// Returns whether the target refused so recently that it gets no new flow.
    pub(crate) fn is_backing_off(&self, now: MonoTime) -> bool {
        now < self.backoff_until
    }

    /// Returns the number of attempts that a request takes at the target on average, at least 1.
    pub(crate) fn attempts_per_request(&self, now: MonoTime) -> f32 {
        if now.since(self.last_refusal) > MAX_SHARE_AGE {
            return 1.0;
        }
        1.0 / (1.0 - self.share).max(SAMPLE_WEIGHT)
    }
}
