use std::collections::{HashMap, VecDeque};

use zinniadrift_core::balancer::TargetReport;
use zinniadrift_core::ids::TargetId;

use super::SECOND;

/// The age of the load in a report when the report reaches a balancer, in microseconds.
const LOAD_DELAY: u64 = 10 * SECOND;

/// A delay line for target reports.
///
/// The load in a report is delayed; the health of a target is passed on at once.
#[derive(Debug, Default)]
pub(crate) struct ReportDelayLine {
    history: VecDeque<(u64, Vec<TargetReport>)>,
}

impl ReportDelayLine {
    /// Records the current reports and returns those that balancers receive now.
    pub(crate) fn push(&mut self, now: u64, current: Vec<TargetReport>) -> Vec<TargetReport> {
        let healthy: HashMap<TargetId, bool> =
            current.iter().map(|r| (r.target, r.healthy)).collect();
        self.history.push_back((now, current));
        while self.history.len() > 1 && self.history[1].0 + LOAD_DELAY <= now {
            self.history.pop_front();
        }
        let Some((_, old)) = self
            .history
            .front()
            .filter(|(at, _)| at + LOAD_DELAY <= now)
        else {
            return Vec::new();
        };
        let aged = old.iter().map(|r| TargetReport {
            healthy: healthy.get(&r.target).copied().unwrap_or(false),
            ..*r
        });
        aged.collect()
    }
}
