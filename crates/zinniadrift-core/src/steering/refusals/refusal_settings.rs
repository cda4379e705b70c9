use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::steering::millis;

/// The settings of the detection of refusals by the size of responses.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RefusalSettings {
    /// Whether refusals are detected.
    pub enabled: bool,
    /// The time for which a target gets no new flow after its first refusal.
    ///
    /// A queue of eight requests at two slots takes five response times to empty.
    #[serde(with = "millis")]
    pub min_backoff: Duration,
    /// The upper limit of that time, which doubles with each refusal that follows without a regular
    /// response in between.
    #[serde(with = "millis")]
    pub max_backoff: Duration,
    /// Whether a target that refuses a part of its requests gets fewer flows, in proportion to the
    /// attempts that a request takes there.
    pub weighs_share: bool,
}

impl RefusalSettings {
    /// Checks the ranges of all settings.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first setting that is out of range and what it accepts.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.min_backoff.is_zero() {
            return Err("min_backoff must be at least 1");
        }
        if self.max_backoff < self.min_backoff {
            return Err("max_backoff must be at least min_backoff");
        }
        Ok(())
    }
}

impl Default for RefusalSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            min_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(2),
            weighs_share: true,
        }
    }
}
