use serde::{Deserialize, Serialize};

/// The behavior of a target double, which `POST /control` replaces.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetBehavior {
    /// The number of requests that run concurrently; further requests are shed.
    pub slots: u32,
    /// The service time of a request in milliseconds.
    pub service_ms: u64,
    /// The time in milliseconds after the start during which requests take longer.
    pub cold_start_ms: u64,
    /// The factor by which the service time is longer during the cold start.
    pub cold_factor: u32,
    /// Whether new requests are refused before they start.
    pub draining: bool,
    /// The time in milliseconds for which the load endpoint repeats its last report.
    pub load_lag_ms: u64,
    /// The number of busy slots that the load endpoint reports instead of the actual number.
    pub load_override: Option<u32>,
    /// The health that the health endpoint reports; healthy if `None`.
    pub health_override: Option<bool>,
}

impl Default for TargetBehavior {
    fn default() -> Self {
        Self {
            slots: 2,
            service_ms: 5,
            cold_start_ms: 0,
            cold_factor: 1,
            draining: false,
            load_lag_ms: 0,
            load_override: None,
            health_override: None,
        }
    }
}
