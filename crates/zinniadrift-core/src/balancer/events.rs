use std::sync::Arc;

use super::{PeerMessage, TargetReport};
use crate::ids::{Incarnation, MemberId};
use crate::membership::Host;
use crate::settings::ServiceCatalog;

/// Is an input of the balancer's state machine.
#[derive(Clone, Debug)]
pub enum BalancerEvent {
    /// A message arrived from a peer.
    Peer {
        /// The sender.
        from: MemberId,
        /// The run of the sender.
        incarnation: Incarnation,
        /// The message.
        msg: PeerMessage,
    },
    /// The driver obtained settings from the platform or from a peer.
    Settings(Arc<ServiceCatalog>),
    /// Hosts that may run members, from seeds, the platform's list or status objects.
    ///
    /// They only add to what is known; a host missing from a later list is not forgotten.
    Hosts(Vec<Host>),
    /// A target reported its load, or failed to.
    Report(TargetReport),
    /// Time has passed.
    Tick,
    /// The operator asks for a graceful shutdown.
    Leave,
}
