use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::ZoneName;

use super::AdmissionSettings;

/// The settings of [`Steering`](super::Steering).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SteeringSettings {
    /// The balancer's availability zone.
    pub zone: ZoneName,
    /// The time for which a target that the store no longer lists may still be alive.
    ///
    /// Targets register again within two seconds after the store returns; the other half second
    /// covers the delay of the change on its way to the balancer.
    #[serde(with = "millis")]
    pub lapse_grace: Duration,
    /// The age beyond which the directory or the configuration is no ground for a reset.
    ///
    /// The store confirms them at least every `watch_wait`; a relay and the network add up to two
    /// seconds.
    #[serde(with = "millis")]
    pub max_staleness: Duration,
    /// The maximum lifetime of a flow, for which ended targets are remembered.
    #[serde(with = "millis")]
    pub flow_lifetime: Duration,
    /// The maximum number of flows that are tracked for load estimates.
    pub tracked_flows: usize,
    /// Whether targets whose callers retransmit are probed; without probes no target counts as
    /// dead.
    pub probes: bool,
    /// The choice of a target for a new flow.
    pub placement: PlacementSettings,
    /// The forwarding of requests to targets under load.
    pub admission: AdmissionSettings,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        Self {
            zone: ZoneName::default(),
            lapse_grace: Duration::from_millis(2_500),
            max_staleness: Duration::from_secs(6),
            flow_lifetime: Duration::from_secs(60),
            tracked_flows: 16_384,
            probes: true,
            placement: PlacementSettings::default(),
            admission: AdmissionSettings::default(),
        }
    }
}

/// An override of a setting that cannot be applied.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("setting {name}: {reason}")]
pub struct OverrideError {
    /// The dotted name of the setting.
    pub name: Box<str>,
    /// Why the override was rejected.
    pub reason: Box<str>,
}

impl SteeringSettings {
    /// Replaces the setting with the dotted name `name` by `value`, a JSON value; durations are
    /// whole milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if there is no such setting or if it does not accept the value.
    pub fn with_override(&self, name: &str, value: &str) -> Result<Self, OverrideError> {
        let error = |reason: String| OverrideError {
            name: name.into(),
            reason: reason.into(),
        };
        let value: Value = serde_json::from_str(value).map_err(|e| error(e.to_string()))?;
        let mut tree = serde_json::to_value(self).map_err(|e| error(e.to_string()))?;
        let pointer = format!("/{}", name.replace('.', "/"));
        let setting = tree
            .pointer_mut(&pointer)
            .ok_or_else(|| error("unknown setting".to_owned()))?;
        *setting = value;
        serde_json::from_value(tree).map_err(|e| error(e.to_string()))
    }
}

/// Serializes durations as whole milliseconds.
mod millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(value: &Duration, ser: S) -> Result<S::Ok, S::Error> {
        ser.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<Duration, D::Error> {
        u64::deserialize(de).map(Duration::from_millis)
    }
}

/// The settings of the choice of a target for a new flow.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// The time for which a target gets no new flow after it did not respond to an opening packet.
    ///
    /// A single pending opening packet is enough to find out that the target responds again.
    #[serde(with = "millis")]
    pub suspicion_timeout: Duration,
    /// The number of this balancer's requests that may queue at a target before it counts as full.
    ///
    /// Targets queue a few more requests than they have slots; they refuse more than eight.
    pub queue_limit: u32,
    /// The load of a request or opening packet that awaits its response, in open flows, when a long
    /// flow is placed.
    pub long_flow_request_load: f32,
    /// The factor by which a target that has not warmed up processes requests more slowly; 1 treats
    /// all targets alike.
    pub cold_slowdown: f32,
    /// The upper limit of the slowdown that response times show; a target beyond it is chosen last
    /// in any case. 1 ignores response times.
    pub max_slowdown: f32,
    /// The cost of the longer path to another availability zone, in active requests per slot.
    pub cross_zone_cost: f32,
    /// The uploaded bytes per flow to another availability zone that cost as much as one active
    /// request per slot.
    pub bytes_per_cost_unit: f32,
    /// The number of times more long flows that a target in the balancer's own zone carries before
    /// a target in another zone gets one, unless all its slots are in use; at least 1. Flows within
    /// a zone survive a partition between zones.
    pub long_flow_remote_factor: f32,
    /// Whether a zone is avoided whose targets do not respond.
    pub avoid_silent_zones: bool,
    /// Whether a retransmitted opening packet goes to a target that was not tried yet.
    pub move_retransmitted_opens: bool,
    /// Whether targets missing from the store get new flows while they outnumber the listed ones.
    pub use_lapsed_targets: bool,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            suspicion_timeout: Duration::from_millis(1_500),
            queue_limit: 8,
            long_flow_request_load: 0.0,
            cold_slowdown: 1.6,
            max_slowdown: 8.0,
            cross_zone_cost: 0.15,
            bytes_per_cost_unit: 20_000.0,
            long_flow_remote_factor: 8.0,
            avoid_silent_zones: true,
            move_retransmitted_opens: true,
            use_lapsed_targets: true,
        }
    }
}

/// The timing of [`WatchLoop`](super::WatchLoop).
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// The maximum wait of one watch call.
    pub watch_wait: Duration,
    /// The pause after a change, so that one call collects changes that follow each other closely.
    pub coalesce_delay: Duration,
    /// The time that a balancer waits for a relay after its first, possibly stale, list before it
    /// watches the store itself.
    pub relay_wait: Duration,
    /// The first pause after a failed call; it doubles up to `retry_max`.
    pub retry_min: Duration,
    /// The maximum pause after failed calls.
    pub retry_max: Duration,
}

/// The time that a slow store, the hops through peers and a slow processor add to the interval
/// between two confirmations.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(800);

impl WatchSettings {
    /// Returns the age within which knowledge is confirmed again while the store responds.
    pub fn expected_max_age(&self) -> Duration {
        self.watch_wait + CONFIRMATION_DELAY
    }
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(4),
            coalesce_delay: Duration::from_millis(400),
            relay_wait: Duration::from_millis(300),
            retry_min: Duration::from_millis(100),
            retry_max: Duration::from_secs(1),
        }
    }
}
