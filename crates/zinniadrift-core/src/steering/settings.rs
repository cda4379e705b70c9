use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::ZoneName;

use crate::steering::{
    AdmissionSettings, ObservationSettings, PlacementSettings, RefusalSettings, RoomSettings,
    WarmUpLimitSettings, ZoneDrainSettings, millis,
};

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
    /// The time after a return of the store from an older copy in which nothing is refused on the
    /// ground of its state: its writers write again what it had lost.
    #[serde(with = "millis")]
    pub return_settling: Duration,
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
    /// The exclusion of targets in zones that an operator takes out of service.
    pub zone_drains: ZoneDrainSettings,
    /// The limit of new flows at targets that warm up.
    pub warm_up_limit: WarmUpLimitSettings,
    /// What follows from refusals of targets.
    pub refusals: RefusalSettings,
    /// The admission of new flows when demand exceeds capacity.
    pub room: RoomSettings,
    /// The observations of targets that balancers share.
    pub observations: ObservationSettings,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        Self {
            zone: ZoneName::default(),
            lapse_grace: Duration::from_millis(2_500),
            return_settling: Duration::from_secs(4),
            max_staleness: Duration::from_secs(6),
            flow_lifetime: Duration::from_secs(60),
            tracked_flows: 16_384,
            probes: true,
            placement: PlacementSettings::default(),
            admission: AdmissionSettings::default(),
            zone_drains: ZoneDrainSettings::default(),
            warm_up_limit: WarmUpLimitSettings::default(),
            refusals: RefusalSettings::default(),
            room: RoomSettings::default(),
            observations: ObservationSettings::default(),
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
    /// Fails if there is no such setting, or if it does not accept the value or its range.
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
        let cfg: Self = serde_json::from_value(tree).map_err(|e| error(e.to_string()))?;
        let checked = cfg.placement.check().and_then(|()| cfg.admission.check());
        let checked = checked.and_then(|()| cfg.warm_up_limit.check());
        let checked = checked.and_then(|()| cfg.room.check());
        let checked = checked.and_then(|()| cfg.refusals.check());
        checked.map_err(|reason| error(reason.to_owned()))?;
        Ok(cfg)
    }
}
