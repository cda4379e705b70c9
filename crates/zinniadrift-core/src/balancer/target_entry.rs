use std::time::Duration;

use super::RecentPlacements;
use crate::ids::TargetId;
use crate::units::MonoTime;

/// A target of a service with its load as this member estimates it.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetEntry {
    pub(super) id: TargetId,
    /// Whether the settings contain the target, in any state.
    pub(super) configured: bool,
    /// Whether the settings let the target take new flows.
    pub(super) active: bool,
    pub(super) weight: f64,
    pub(super) healthy: bool,
    /// Whether the target gets no new flows because of its health.
    pub(super) ejected: bool,
    /// The time at which the target began to ramp up.
    pub(super) ramp_start: Option<MonoTime>,
    pub(super) reported_at: Option<MonoTime>,
    /// The flows of the last report plus the placements that it may lack.
    pub(super) reported: f64,
    /// Whether the last report is implausible given the flows that this member knows.
    pub(super) implausible: bool,
    /// The placements of the last seconds, which a report may lack.
    pub(super) recent: RecentPlacements,
    /// The estimated flows: the last report plus the placements since, scaled by the number of
    /// members.
    pub(super) load: f64,
}

impl TargetEntry {
    /// Returns a target that the settings do not contain.
    pub(super) fn new(id: TargetId) -> Self {
        Self {
            id,
            configured: false,
            active: false,
            weight: 0.0,
            healthy: true,
            ejected: false,
            ramp_start: None,
            reported_at: None,
            reported: 0.0,
            implausible: false,
            recent: RecentPlacements::default(),
            load: 0.0,
        }
    }

    /// Returns whether the target takes new flows.
    pub(super) fn is_usable(&self) -> bool {
        self.active && !self.ejected
    }

    /// Returns the load relative to the weight.
    pub(super) fn ratio(&self) -> f64 {
        self.load / self.weight.max(1.0)
    }

    /// Returns the share of its flows that the target takes while it ramps up, from 0.0 to 1.0.
    pub(super) fn ramp_share(&self, now: MonoTime, ramp: Duration) -> f64 {
        match self.ramp_start {
            Some(start) if now.since(start) < ramp => {
                now.since(start).as_secs_f64() / ramp.as_secs_f64()
            }
            _ => 1.0,
        }
    }
}
