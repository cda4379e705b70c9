use std::time::Duration;

use super::{RetryBudget, TargetPool, WaitQueue};
use crate::settings::Policies;
use crate::units::MonoTime;

/// Is the state of one service at a gateway.
#[derive(Debug)]
pub(crate) struct ServicePool {
    /// The policies in force.
    pub(crate) policies: Policies,
    /// The targets.
    pub(crate) targets: TargetPool,
    /// The requests that found every target full.
    pub(crate) queue: WaitQueue,
    /// The retries that are left.
    pub(crate) budget: RetryBudget,
    /// Whether overload was reported to the timeline.
    pub(crate) overloaded: bool,
    next_probe: MonoTime,
}

/// The time between two probes on behalf of waiting requests. It is short against the time that a
/// request runs, and bounds the probes of a gateway to a few hundred per second.
const PROBE_INTERVAL: Duration = Duration::from_millis(3);

impl ServicePool {
    pub(crate) fn new() -> Self {
        Self {
            policies: Policies::default(),
            targets: TargetPool::default(),
            queue: WaitQueue::default(),
            budget: RetryBudget::new(),
            overloaded: false,
            next_probe: MonoTime::default(),
        }
    }

    /// Takes the right to probe a target for a waiting request, if one is due.
    pub(crate) fn take_probe(&mut self, now: MonoTime) -> bool {
        let due = !self.queue.is_empty() && now >= self.next_probe;
        if due {
            self.next_probe = now + PROBE_INTERVAL;
        }
        due
    }

    /// Returns the next time at which something is due.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let restore = self.targets.next_restore();
        if self.queue.is_empty() {
            return restore;
        }
        let probe = self.targets.next_open().map(|t| t.max(self.next_probe));
        [restore, probe, self.queue.next_expiry()]
            .into_iter()
            .flatten()
            .min()
    }
}
