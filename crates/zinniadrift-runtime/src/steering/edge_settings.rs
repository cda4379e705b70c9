use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use zinniadrift_core::steering::{RelayPosition, SteeringSettings, WatchSettings};
use zinniadrift_core::units::LinkRate;

/// The settings of an edge balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// The balancer's name, used in logs.
    pub name: Box<str>,
    /// The address on which callers' packets arrive (UDP).
    pub packets: SocketAddrV4,
    /// The address of the readiness endpoint, which the routers probe (HTTP).
    pub readiness: SocketAddr,
    /// The address on which peers request updates (HTTP); without it, no peers are served.
    pub peer: Option<SocketAddr>,
    /// The relays: the peers that watch the store on behalf of all others.
    pub seeds: Vec<SocketAddr>,
    /// The address on which metrics are served (HTTP); without it, none are served.
    pub metrics: Option<SocketAddr>,
    /// The rate of the host's link, if it is known.
    pub link: Option<LinkRate>,
    /// The longest time from the signal to terminate to the end of the process.
    pub stop_within: Duration,
    /// The settings of the steering state machine.
    pub steering: SteeringSettings,
    /// The settings of watches on the store.
    pub watch: WatchSettings,
    /// The settings of the watch on the drained zones.
    pub zone_watch: WatchSettings,
}

impl EdgeSettings {
    /// Returns this balancer's position among the relays; `None` if it is none of them.
    pub(super) fn relay_position(&self) -> Option<RelayPosition> {
        let index = self.seeds.iter().position(|r| Some(*r) == self.peer)?;
        let count = self.seeds.len();
        Some(RelayPosition { index, count })
    }

    /// Returns whether both settings listen on the same addresses.
    pub(super) fn same_sockets(&self, other: &Self) -> bool {
        (self.packets, self.readiness, self.peer, self.metrics)
            == (other.packets, other.readiness, other.peer, other.metrics)
    }
}
