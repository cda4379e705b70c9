use zinniadrift_core::balancer::DropReason;
use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::units::MonoTime;

/// Tells what became of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A balancer forwarded the packet to a target.
    Forwarded(TargetId),
    /// A balancer dropped the packet.
    Dropped(DropReason),
    /// The packet was lost: its balancer was not running, or the link to a relay was down.
    Lost,
}

/// Records the end of one packet's way through the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delivery {
    /// The packet, with the token that [`super::Group::send_packet`] returned.
    pub packet: FlowPacket,
    /// The index of the last member that had the packet.
    pub member: usize,
    /// The time of the outcome.
    pub at: MonoTime,
    /// The outcome.
    pub outcome: Outcome,
}
