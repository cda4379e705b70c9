use serde::{Deserialize, Serialize};

/// The settings of the admission of requests to targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Whether requests wait in the balancer for room at their target.
    pub enabled: bool,
    /// The share of the time between a route's uncongested response time and its latency target
    /// that requests may spend in the target's queue; from 0 to 1.
    pub queueing_share: f32,
    /// The lowest factor by which the limit of a congested target falls at once; between 0 and 1.
    pub max_decrease: f32,
    /// The lowest limit, in requests; at least 1.
    pub min_limit: f32,
    /// The response time, relative to the tolerated one, from which the limit falls below
    /// `min_limit`, down to a single request.
    pub severe_pressure: f32,
    /// Whether the newest of the requests goes first that can still meet their latency target;
    /// without it, requests go in the order of their arrival.
    pub newest_first: bool,
    /// The number of requests that may wait in the balancer at once; further ones are forwarded.
    pub max_waiting: usize,
}

impl AdmissionSettings {
    /// Checks the ranges of all settings.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first setting that is out of range and what it accepts.
    pub fn check(&self) -> Result<(), &'static str> {
        if !(0.0..=1.0).contains(&self.queueing_share) {
            return Err("queueing_share must be from 0 to 1");
        }
        if !(self.max_decrease > 0.0 && self.max_decrease < 1.0) {
            return Err("max_decrease must be between 0 and 1");
        }
        if !(1.0..=f32::MAX).contains(&self.min_limit) {
            return Err("min_limit must be at least 1");
        }
        if !(1.0..=f32::MAX).contains(&self.severe_pressure) {
            return Err("severe_pressure must be at least 1");
        }
        Ok(())
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            queueing_share: 0.2,
            max_decrease: 0.5,
            min_limit: 2.0,
            severe_pressure: 1.25,
            newest_first: true,
            max_waiting: 256,
        }
    }
}
