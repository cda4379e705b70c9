use serde::{Deserialize, Serialize};

/// Says how a target double behaves; `POST /control` replaces it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetBehavior {
    /// The requests that run at the same time; further ones are shed.
    pub slots: u32,
    /// The time in milliseconds that a request runs.
    pub service_ms: u64,
    /// The time in milliseconds after the start during which requests run slower.
    pub cold_start_ms: u64,
    /// How many times slower requests run during the cold start.
    pub cold_factor: u32,
    /// Whether new requests are declined before they start.
    pub draining: bool,
    /// The time in milliseconds for which the load endpoint repeats its last statement.
    pub load_lag_ms: u64,
    /// The busy slots that the load endpoint states, whatever is true.
    pub load_override: Option<u32>,
    /// The health that the health endpoint states, whatever is true.
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
