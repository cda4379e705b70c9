use derive_more::Display;

use crate::ids::{MemberId, TargetId};

/// The decision of [`Balancer`](super::Balancer) about a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send the packet to the target.
    Forward(TargetId),
    /// Send the packet to another balancer, marked as relayed.
    Relay(MemberId),
    /// Hold the packet until [`super::BalancerAction::Release`] with its token.
    Hold,
    /// Drop the packet for this reason.
    Drop(DropReason),
}

/// The reason for which a packet was dropped.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "snake_case")]
pub enum DropReason {
    /// No service has the packet's destination.
    UnknownService,
    /// The service has no target that can take the flow.
    NoTarget,
    /// No settings have been received yet.
    NoSettings,
    /// The buffer for held packets is full.
    HoldFull,
    /// The process was paused while it held the packet; a peer may have placed the flow elsewhere.
    Stale,
}
