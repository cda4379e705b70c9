use std::sync::Arc;

use super::PeerMessage;
use crate::ids::MemberId;
use crate::settings::ServiceCatalog;

/// Is an input of the balancer's state machine.
#[derive(Clone, Debug)]
pub enum BalancerEvent {
    /// A message arrived from a peer.
    Peer {
        /// The sender.
        from: MemberId,
        /// The message.
        msg: PeerMessage,
    },
    /// The driver obtained settings from the platform or from a peer.
    Settings(Arc<ServiceCatalog>),
    /// Time has passed.
    Tick,
    /// The operator asks for a graceful shutdown.
    Leave,
}
