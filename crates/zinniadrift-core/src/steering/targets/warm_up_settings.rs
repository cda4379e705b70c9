use serde::{Deserialize, Serialize};

/// The settings of the limit of new flows at targets that warm up.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmUpLimitSettings {
    /// Whether services that have a limit get it.
    pub enabled: bool,
    /// The factor by which the new flows of any second may exceed the limit; at least 1.
    pub overshoot: f32,
    /// The new flows of any second allowed in addition.
    pub slack: f32,
}

impl WarmUpLimitSettings {
    /// Checks the ranges of all settings.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first setting that is out of range and what it accepts.
    pub fn check(&self) -> Result<(), &'static str> {
        if !(1.0..=MAX_BOUND).contains(&self.overshoot) {
            return Err("overshoot must be 1 to 1000");
        }
        if !(0.0..=MAX_BOUND).contains(&self.slack) {
            return Err("slack must be 0 to 1000");
        }
        Ok(())
    }
}

/// The upper limit of both, which bounds the number of permits.
const MAX_BOUND: f32 = 1_000.0;

impl Default for WarmUpLimitSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            overshoot: 1.5,
            slack: 5.0,
        }
    }
}
