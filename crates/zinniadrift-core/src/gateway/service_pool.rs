use std::time::Duration;

use super::{RetryBudget, TargetPool, WaitQueue};
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
    /// Whether the service was last reported to the time line as overloaded.
    pub(crate) overloaded: bool,
    next_probe: MonoTime,
}

/// The interval between probes, which send a waiting request to a target that may have a free slot.
/// It is short compared to the run time of a request, and limits a gateway to a few hundred probes
/// per second.
const PROBE_INTERVAL: Duration = Duration::from_millis(3);

impl ServicePool {
    pub(crate) fn new() -> Self {
        Self {
            policies: Policies::default(),
            targets: TargetPool::default(),
            queue: WaitQueue::default(),
            retry_budget: RetryBudget::new(),
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

    /// Returns the next time at which an ejection ends, a probe is due or a waiting request
    /// expires.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let restore = self.targets.next_restore();
        if self.queue.is_empty() {
            return restore;
        }
        let probe = self
            .targets
            .next_available()
            .map(|t| t.max(self.next_probe));
        [restore, probe, self.queue.next_expiry()]
            .into_iter()
            .flatten()
            .min()
    }
}
