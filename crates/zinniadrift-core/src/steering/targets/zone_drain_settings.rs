use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::steering::millis;

/// The settings of zone drains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneDrainSettings {
    /// Whether targets in drained zones get no new flow.
    pub enabled: bool,
    /// The time over which the share of new flows for which a returned zone is considered rises
    /// from 0 to 1; zero returns the zone in one step.
    ///
    /// The targets of a zone that returns are idle, so that without it they would get every new
    /// flow at once.
    #[serde(with = "millis")]
    pub return_ramp: Duration,
}

impl Default for ZoneDrainSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            return_ramp: Duration::from_secs(5),
        }
    }
}
