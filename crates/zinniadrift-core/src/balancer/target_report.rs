use crate::ids::{ServiceId, TargetId};

/// A load report of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// The target's service.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// The flows open on the target, from all balancers.
    pub open_flows: u32,
    /// The busy slots of the target.
    pub busy: u32,
    /// Whether the target answered and reported itself as healthy.
    pub healthy: bool,
}
