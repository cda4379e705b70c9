use std::time::Duration;

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;

/// What the targets of a service can handle while they warm up.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceWarmUp {
    /// The service.
    pub service: ServiceId,
    /// The rate of new flows at each target, over all balancers; 0 is no limit.
    #[serde(rename = "milli_rate")]
    pub rate: FlowRate,
    /// The time that a target takes to warm up if its entry does not say.
    pub duration: Duration,
}

/// A rate of new flows in thousandths of a flow per second.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    From,
    FromStr,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct FlowRate(u32);

impl FlowRate {
    /// Returns the rate for a number of flows per second, to the next lower thousandth; values out
    /// of range are limited to it.
    pub fn from_per_second(flows: f64) -> Self {
        Self((flows * 1e3) as u32)
    }

    /// Returns the flows per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}
