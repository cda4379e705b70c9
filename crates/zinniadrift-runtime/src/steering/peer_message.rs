use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use zinniadrift_core::steering::{KnownState, PeerInfo, PeerUpdate};

/// Asks a peer for what the asking balancer misses.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct PeerRequest {
    /// What the asking balancer knows.
    pub(super) known: KnownState,
    /// How long the peer may wait for news, in milliseconds.
    pub(super) wait_ms: u64,
    /// The asking balancer; a relay and one that answers no peers give no name and are answered
    /// in any case.
    pub(super) asker: Option<PeerInfo>,
}

/// Answers a [`PeerQuestion`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) enum PeerResponse {
    /// What the asking balancer misses.
    #[serde(rename = "News")]
    Update(Box<PeerUpdate>),
    /// The peers to ask instead.
    #[serde(rename = "Ask")]
    Refer(Vec<SocketAddr>),
}
