use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use zinniadrift_core::steering::{SteeringSettings, WatchSettings};

/// Holds the settings of one balancer that steers by cookies.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// The balancer's name, for logs.
    pub name: Box<str>,
    /// Where callers' packets arrive.
    pub packets: SocketAddrV4,
    /// Where the routers ask whether the balancer takes packets.
    pub readiness: SocketAddr,
    /// Where peers ask for what this balancer knows; `None` serves no peers.
    pub peer: Option<SocketAddr>,
    /// The peers that watch the store for all others.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served; `None` serves none.
    pub metrics: Option<SocketAddr>,
    /// The time from the request to stop to the end of the process.
    pub stop_within: Duration,
    /// The settings of the decisions.
    pub steering: SteeringSettings,
    /// The pace of calls to the store.
    pub watch: WatchSettings,
}

impl EdgeSettings {
    /// Tells whether both settings open the same sockets.
    pub(super) fn same_sockets(&self, other: &Self) -> bool {
        (self.packets, self.readiness, self.peer, self.metrics)
            == (other.packets, other.readiness, other.peer, other.metrics)
    }
}
