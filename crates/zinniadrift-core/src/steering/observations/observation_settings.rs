use serde::{Deserialize, Serialize};

/// The settings of observations that balancers share.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObservationSettings {
    /// Whether this balancer reports its observations of targets, uses those of others, and places
    /// new flows in proportion to the targets' speeds.
    pub enabled: bool,
}
