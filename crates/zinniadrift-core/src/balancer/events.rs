use std::sync::Arc;

use super::{PeerMessage, TargetReport};
use crate::ids::{Incarnation, MemberId};
use crate::membership::Host;
use crate::settings::ServiceCatalog;

/// An input of the balancer's state machine.
#[derive(Clone, Debug)]
pub enum BalancerEvent {
    /// A message arrived from a peer.
    Peer {
        /// The sender.
        from: MemberId,
        /// The incarnation of the sender.
        incarnation: Incarnation,
        /// The message.
        msg: PeerMessage,
    },
    /// The driver obtained settings from the platform or from a peer.
    Settings(Arc<ServiceCatalog>),
    /// Hosts that may run members, from seeds, the platform's list or status objects.
    ///
    /// Hosts are only added; one that is missing from a later list stays known.
    Hosts(Vec<Host>),
    /// A target reported its load, or its health check failed.
    Report(TargetReport),
    /// Time has passed.
    Tick,
    /// The operator asks for a graceful shutdown.
    Leave,
}
