use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::steering::millis;
use crate::steering::placement::open_evidence::OpenEvidence;

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
    /// What shows that a target does not take new flows, `"retransmission"` or `"overdue"`.
    pub open_evidence: OpenEvidence,
    /// Whether a zone is avoided whose targets do not respond; the balancer's own zone only with the
    /// evidence `"overdue"`.
    pub avoid_silent_zones: bool,
    /// Whether a retransmitted opening packet goes to a target that was not tried yet.
    pub move_retransmitted_opens: bool,
    /// Whether targets missing from the store get new flows while they outnumber the listed ones.
    pub use_lapsed_targets: bool,
}

impl PlacementSettings {
    /// Checks the ranges of all settings.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first setting that is out of range and what it accepts.
    pub fn check(&self) -> Result<(), &'static str> {
        for (value, min, text) in [
            (self.cold_slowdown, 1.0, "cold_slowdown must be at least 1"),
            (self.max_slowdown, 1.0, "max_slowdown must be at least 1"),
            (
                self.cross_zone_cost,
                0.0,
                "cross_zone_cost must be at least 0",
            ),
            (
                self.bytes_per_cost_unit,
                1.0,
                "bytes_per_cost_unit must be at least 1",
            ),
            (
                self.long_flow_remote_factor,
                1.0,
                "long_flow_remote_factor must be at least 1",
            ),
        ] {
            if !(min..=f32::MAX).contains(&value) {
                return Err(text);
            }
        }
        Ok(())
    }
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            suspicion_timeout: Duration::from_millis(1_500),
            queue_limit: 8,
            cold_slowdown: 1.6,
            max_slowdown: 8.0,
            cross_zone_cost: 0.15,
            bytes_per_cost_unit: 20_000.0,
            long_flow_remote_factor: 8.0,
            open_evidence: OpenEvidence::default(),
            avoid_silent_zones: true,
            move_retransmitted_opens: true,
            use_lapsed_targets: true,
        }
    }
}
