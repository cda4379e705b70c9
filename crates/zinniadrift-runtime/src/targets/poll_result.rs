use std::time::Duration;

use serde::Deserialize;

use zinniadrift_core::ids::{ServiceId, TargetId};

/// Is what a target last said about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PollResult {
    /// The target's service.
    pub(crate) service: ServiceId,
    /// The target.
    pub(crate) target: TargetId,
    /// The stated load, `None` if the target did not answer.
    pub(crate) load: Option<Load>,
    /// Whether the target answered and says that it is healthy.
    pub(crate) healthy: bool,
}

/// Is the answer of a target's load endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub(crate) struct Load {
    /// The flows open on the target.
    pub(crate) open_flows: u32,
    /// The busy slots.
    pub(crate) busy: u32,
    /// The age of the statement in milliseconds.
    pub(crate) age_ms: u64,
}

impl Load {
    /// Returns the age of the statement.
    pub(crate) const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}
