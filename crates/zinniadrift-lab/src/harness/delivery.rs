use zinniadrift_core::balancer::DropReason;
use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::units::MonoTime;

/// The outcome of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A balancer forwarded the packet to a target.
    Forwarded(TargetId),
    /// A balancer dropped the packet.
    Dropped(DropReason),
    /// The packet was lost, because its balancer was not running or a relay did not reach its
    /// destination.
    Lost,
}

/// A packet with its outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delivery {
    /// The packet, with the token that [`super::Group::send_packet`] returned.
    pub packet: FlowPacket,
    /// The index of the last member that handled the packet.
    pub member: usize,
    /// The virtual time of the outcome.
    pub at: MonoTime,
    /// What happened to the packet.
    pub outcome: Outcome,
}
