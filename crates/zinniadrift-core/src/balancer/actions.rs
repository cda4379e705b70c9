use super::{PeerMessage, Verdict};
use crate::ids::{MemberId, PacketToken};

/// Is an output of the balancer's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerAction {
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        msg: PeerMessage,
    },
    /// Act on a packet that was held.
    Release {
        /// The held packet.
        token: PacketToken,
        /// What to do with it now.
        verdict: Verdict,
    },
    /// Fetch newer settings from a peer.
    PullSettings {
        /// The peer that has them.
        from: MemberId,
    },
    /// Stop the process.
    Exit,
}
