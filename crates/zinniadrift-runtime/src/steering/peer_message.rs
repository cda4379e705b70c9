use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use zinniadrift_core::steering::{KnownState, PeerInfo, PeerUpdate};

/// A request for the updates that the requesting balancer is missing.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct PeerRequest {
    /// The state of the requesting balancer.
    pub(super) known: KnownState,
    /// The time in milliseconds for which the peer may hold the request open until it has an
    /// update.
    pub(super) wait_ms: u64,
    /// The requesting balancer. Relays and balancers that serve no peers leave it out; they are
    /// served without a lease and never referred.
    #[serde(rename = "asker")]
    pub(super) requester: Option<PeerInfo>,
}

/// A response to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) enum PeerResponse {
    /// The updates that the requesting balancer is missing.
    #[serde(rename = "News")]
    Update(Box<PeerUpdate>),
    /// The addresses of the peers to send the request to instead.
    #[serde(rename = "Ask")]
    Refer(Vec<SocketAddr>),
}
