use std::time::Duration;

use crate::ids::TargetId;

/// A target's report of its own load; the report may be stale or wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// The target.
    pub target: TargetId,
    /// The number of busy slots that the target reports.
    pub busy: u16,
    /// The age of the report when it reached this gateway.
    pub age: Duration,
}
