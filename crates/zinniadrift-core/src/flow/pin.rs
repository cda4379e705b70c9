use std::net::SocketAddrV4;

use crate::ids::{ServiceId, TargetId};
use crate::units::HybridTime;

/// An explicit assignment of a flow to a target, which takes precedence over the base table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Pin {
    /// The service that the flow belongs to.
    pub service: ServiceId,
    /// The target that receives the flow's packets.
    pub target: TargetId,
    /// The time of the assignment; of two pins of the same flow, the later one applies.
    pub time: HybridTime,
    /// The caller's address and port.
    pub caller: SocketAddrV4,
}
