use std::time::Duration;

use crate::ids::TargetId;

/// Is a target's own statement of its load; it may be stale or misleading.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// The target.
    pub target: TargetId,
    /// The busy slots that the target states.
    pub busy: u16,
    /// The age of the statement when it reached this gateway.
    pub age: Duration,
}
