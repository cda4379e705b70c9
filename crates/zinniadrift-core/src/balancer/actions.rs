use super::{PeerMessage, TimelineEvent, Verdict};
use crate::ids::{MemberId, PacketToken};
use crate::membership::MemberState;

/// An output of the balancer's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerAction {
    /// Send a message to a peer.
    Send {
        /// The receiver; [`super::Balancer::address_of`] gives its address.
        to: MemberId,
        /// The message.
        msg: PeerMessage,
    },
    /// Apply a verdict to a packet that was held.
    Release {
        /// The held packet.
        token: PacketToken,
        /// The final verdict.
        verdict: Verdict,
    },
    /// Fetch newer settings from a peer.
    PullSettings {
        /// The peer that has them.
        from: MemberId,
    },
    /// Report a state change to the time line.
    Timeline(TimelineEvent),
    /// Write the member's status object: its life-cycle state or settings version changed.
    StateChanged(MemberState),
    /// Stop the process.
    Exit,
}
