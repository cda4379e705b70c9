use serde::{Deserialize, Serialize};

/// The settings of the admission of new flows when demand exceeds capacity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoomSettings {
    /// Whether new flows are refused, or left to their caller's retransmission, by priority and
    /// caller while the targets are above capacity.
    pub enabled: bool,
    /// The share of the capacity that is divided equally among the routes with demand, whatever
    /// their priority; from 0 to 1.
    pub floor_share: f32,
    /// Whether the capacity of a route is shared fairly by caller address.
    pub fair_by_caller: bool,
}

impl RoomSettings {
    /// Checks the ranges of all settings.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first setting that is out of range and what it accepts.
    pub fn check(&self) -> Result<(), &'static str> {
        if !(0.0..=1.0).contains(&self.floor_share) {
            return Err("floor_share must be from 0 to 1");
        }
        Ok(())
    }
}

impl Default for RoomSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            floor_share: 0.1,
            fair_by_caller: true,
        }
    }
}
