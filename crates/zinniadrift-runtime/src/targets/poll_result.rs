use std::time::Duration;

use serde::Deserialize;

use zinniadrift_core::ids::{ServiceId, TargetId};

/// The result of polling a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PollResult {
    /// The target's service.
    pub(crate) service: ServiceId,
    /// The target.
    pub(crate) target: TargetId,
    /// The load that the target reported; `None` if it did not answer.
    pub(crate) load: Option<Load>,
    /// Whether the target's health endpoint answered with success.
    pub(crate) healthy: bool,
}

/// The response of a target's load endpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub(crate) struct Load {
    /// The number of flows open on the target.
    pub(crate) open_flows: u32,
    /// The number of busy slots.
    pub(crate) busy: u32,
    /// The age of the report in milliseconds.
    pub(crate) age_ms: u64,
}

impl Load {
    /// Returns the age of the report.
    pub(crate) const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}
