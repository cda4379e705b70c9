use std::time::Duration;

use super::{HedgeStop, Hedging, RetryBudget, TargetPool, WaitQueue};
use crate::ids::TargetId;
use crate::settings::Policies;
use crate::units::MonoTime;

/// The state of a service at this gateway.
#[derive(Debug)]
pub(crate) struct ServicePool {
    /// The policies in force.
    pub(crate) policies: Policies,
    /// The targets.
    pub(crate) targets: TargetPool,
    /// The requests that wait because every target is full.
    pub(crate) queue: WaitQueue,
    /// The budget for retries.
    pub(crate) retry_budget: RetryBudget,
    /// The second attempts; `None` while hedging is off.
    pub(crate) hedging: Option<Hedging>,
    /// Whether the service was last reported to the time line as overloaded.
    pub(crate) overloaded: bool,
    next_probe: MonoTime,
}

/// The interval between probes, which send a waiting request to a target that may have a free slot.
/// It is short compared to the run time of a request, and limits a gateway to a few hundred probes
/// per second.
const PROBE_INTERVAL: Duration = Duration::from_millis(3);

/// The number of targets with room, besides the first one, below which no second attempt is sent.
/// With only one such target, second attempts would crowd out the first attempts of other requests.
const MIN_HEDGE_TARGETS: usize = 2;

impl ServicePool {
    pub(crate) fn new() -> Self {
        Self {
            policies: Policies::default(),
            targets: TargetPool::default(),
            queue: WaitQueue::default(),
            retry_budget: RetryBudget::new(),
            hedging: None,
            overloaded: false,
            next_probe: MonoTime::default(),
        }
    }

    /// Returns whether a probe for a waiting request is due, and if so, schedules the next one.
    pub(crate) fn try_start_probe(&mut self, now: MonoTime) -> bool {
        let due = !self.queue.is_empty() && now >= self.next_probe;
        if due {
            self.next_probe = now + PROBE_INTERVAL;
        }
        due
    }

    /// Stops second attempts for a moment if they are on.
    pub(crate) fn stop_hedging(&mut self, now: MonoTime, reason: HedgeStop) {
        if let Some(hedging) = &mut self.hedging {
            hedging.stop(now, reason);
        }
    }

    /// Returns the reason other than the budget that prevents a second attempt now for a request
    /// whose first attempt is at `first`.
    pub(crate) fn hedge_stop(&self, now: MonoTime, first: TargetId) -> Option<HedgeStop> {
        if !self.queue.is_empty() {
            return Some(HedgeStop::Congestion);
        }
        let stop = self.hedging.as_ref().and_then(|h| h.stop_in_force(now));
        if stop.is_some() {
            return stop;
        }
        if self.targets.count_available(now, first) < MIN_HEDGE_TARGETS {
            return Some(HedgeStop::FewTargets);
        }
        (!self.retry_budget.has_spare()).then_some(HedgeStop::RetryBudget)
    }

    /// Returns the next time at which an ejection ends, a probe is due, a waiting request expires
    /// or a request becomes slow.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let slow = self.hedging.as_ref().and_then(Hedging::next_due);
        let restore = self.targets.next_restore();
        if self.queue.is_empty() {
            return restore.into_iter().chain(slow).min();
        }
        let probe = self
            .targets
            .next_available()
            .map(|t| t.max(self.next_probe));
        [restore, slow, probe, self.queue.next_expiry()]
            .into_iter()
            .flatten()
            .min()
    }
}
