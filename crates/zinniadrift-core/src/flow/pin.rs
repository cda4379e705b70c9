use std::net::SocketAddrV4;

use crate::ids::{ServiceId, TargetId};
use crate::units::HybridTime;

/// Assigns one flow to a target, whatever the base table says.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Pin {
    /// The service that the flow belongs to.
    pub service: ServiceId,
    /// The target that receives the flow's packets.
    pub target: TargetId,
    /// The time of the assignment; of two pins of one flow the later one holds.
    pub time: HybridTime,
    /// The caller's address and port.
    pub caller: SocketAddrV4,
}
