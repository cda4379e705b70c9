use serde::{Deserialize, Serialize};

use crate::steering::observations::packed;
use crate::steering::observations::reporter_id::ReporterId;
use crate::steering::observations::target_observation::TargetObservation;

/// What a balancer and those that request updates from it observed of targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObservationReport {
    /// The reporting process.
    pub from: ReporterId,
    /// The longest way of a part of the report, in balancers; 1 for a balancer's own observations.
    pub hops: u8,
    /// Whether the reporter is a relay, which reports to other relays.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub relay: bool,
    /// The observations, those first that matter most.
    #[serde(with = "packed")]
    pub targets: Vec<TargetObservation>,
}
