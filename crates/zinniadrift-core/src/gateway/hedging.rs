use std::collections::BTreeSet;
use std::time::Duration;

use super::{
    AttemptId, HedgeBudget, HedgeCandidate, HedgeDelay, HedgeStop, HedgingSettings, RequestId,
};
use crate::settings::HedgingPolicies;
use crate::units::MonoTime;

/// The second attempts of a route at this gateway: which requests are slow, and whether the budget
/// and the state of the route allow a second attempt.
#[derive(Debug)]
pub(crate) struct Hedging {
    policies: HedgingPolicies,
    share: f64,
    budget: HedgeBudget,
    delay: HedgeDelay,
    candidates: BTreeSet<HedgeCandidate>,
    /// The last time at which the candidates were examined.
    examined: MonoTime,
    stopped: Option<(MonoTime, HedgeStop)>,
    /// Whether the time line was told that second attempts stopped.
    reported: bool,
}

/// The time for which a refusal stops second attempts, which is that for which the target is avoided.
const REFUSAL_STOP: Duration = Duration::from_secs(1);
/// The time for which congestion stops second attempts. It is the window of the budget, so that no
/// credit that was earned in congestion is used: with 1 s, a queue that emptied for a moment at 1.2
/// of capacity let second attempts through.
const CONGESTION_STOP: Duration = HedgeBudget::WINDOW;

impl Hedging {
    /// Returns the state for a route; `None` if the gateway or the policies turn hedging off.
    pub(crate) fn new(
        now: MonoTime,
        cfg: HedgingSettings,
        policies: &HedgingPolicies,
    ) -> Option<Self> {
        let share = policies.share.min(cfg.share.get());
        (cfg.enabled && share > 0.0).then(|| Self {
            policies: policies.clone(),
            share,
            budget: HedgeBudget::new(now),
            delay: HedgeDelay::default(),
            candidates: BTreeSet::new(),
            examined: now,
            stopped: None,
            reported: false,
        })
    }

    /// Applies changed settings; the budget and the learned response times are kept.
    pub(crate) fn configured(
        self,
        now: MonoTime,
        cfg: HedgingSettings,
        policies: &HedgingPolicies,
    ) -> Option<Self> {
        let fresh = Self::new(now, cfg, policies)?;
        Some(Self {
            policies: fresh.policies,
            share: fresh.share,
            ..self
        })
    }

    pub(crate) fn record_request(&mut self, now: MonoTime) {
        self.budget.record_request(now);
    }

    /// Records the time that a first attempt took until its response or its cancellation.
    pub(crate) fn record_time(&mut self, time: Duration) {
        self.delay.record(time);
    }

    /// Returns the time after which a first attempt counts as slow; `None` until it is learned.
    pub(crate) fn delay(&self) -> Option<Duration> {
        match self.policies.delay_ms {
            0 => self.delay.percentile(self.policies.percentile),
            ms => Some(Duration::from_millis(ms)),
        }
    }

    pub(crate) fn add(&mut self, candidate: HedgeCandidate) {
        self.candidates.insert(candidate);
    }

    pub(crate) fn remove(&mut self, candidate: HedgeCandidate) {
        self.candidates.remove(&candidate);
    }

    /// Returns the slowest request without a second attempt.
    pub(crate) fn slowest(&self, now: MonoTime) -> Option<HedgeCandidate> {
        self.candidates.first().copied().filter(|c| c.due <= now)
    }

    /// Marks the slow requests as examined and returns the number of those that became slow since
    /// the last call and still have no second attempt.
    pub(crate) fn finish_examination(&mut self, now: MonoTime) -> u64 {
        let last = std::mem::replace(&mut self.examined, now);
        self.due_after(last).take_while(|t| *t <= now).count() as u64
    }

    /// Returns the time at which the next request becomes slow.
    ///
    /// Slow requests without a second attempt are examined again at every event, since only an event
    /// brings new credit. While a stop is in force or the budget is not open, a timer could only
    /// disturb the timing of probes.
    pub(crate) fn next_due(&self) -> Option<MonoTime> {
        let opens = self.budget.opens_at();
        let stop_end = self.stopped.map_or(opens, |(end, _)| end.max(opens));
        let due = self.due_after(self.examined).next()?;
        Some(due.max(stop_end))
    }

    fn due_after(&self, at: MonoTime) -> impl Iterator<Item = MonoTime> {
        let start = HedgeCandidate {
            due: at + Duration::from_micros(1),
            req: RequestId::default(),
            attempt: AttemptId::default(),
        };
        self.candidates.range(start..).map(|c| c.due)
    }

    /// Stops second attempts for a moment.
    pub(crate) fn stop(&mut self, now: MonoTime, reason: HedgeStop) {
        let time = match reason {
            HedgeStop::Congestion => CONGESTION_STOP,
            _ => REFUSAL_STOP,
        };
        let end = now + time;
        if self.stopped.is_none_or(|(e, _)| e <= end) {
            self.stopped = Some((end, reason));
        }
    }

    pub(crate) fn stop_in_force(&self, now: MonoTime) -> Option<HedgeStop> {
        self.stopped.filter(|(end, _)| now < *end).map(|(_, r)| r)
    }

    pub(crate) fn try_spend(&mut self, now: MonoTime) -> bool {
        self.budget.try_spend(now, self.share)
    }

    /// Returns whether the time line needs to be told that second attempts stopped or resumed.
    pub(crate) fn set_reported(&mut self, stopped: bool) -> bool {
        std::mem::replace(&mut self.reported, stopped) != stopped
    }
}
