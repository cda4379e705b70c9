use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::Mechanisms;
use crate::ids::{Incarnation, MemberId, ZoneName};

/// The configuration of the state machine of one balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// This member's id.
    pub member: MemberId,
    /// The incarnation of this run of the member.
    pub incarnation: Incarnation,
    /// This member's configured name.
    pub name: Box<str>,
    /// This member's availability zone.
    pub zone: ZoneName,
    /// The UDP address on which this member receives messages of peers.
    pub address: SocketAddr,
    /// The seed of all random choices.
    pub seed: u64,
    /// The time between two heartbeats to each peer.
    pub heartbeat_interval: Duration,
    /// The time without a message after which a peer counts as dead.
    pub dead_timeout: Duration,
    /// The longest time that a starting member waits for heartbeats of all known peers before it
    /// fetches snapshots, or serves as the first member.
    pub join_timeout: Duration,
    /// The time without a packet after which a leaving member exits.
    pub drain_quiet: Duration,
    /// The longest time that a leaving member waits before it exits.
    pub drain_deadline: Duration,
    /// The time after the last packet for which an unpinned flow with a FIN or RST is kept.
    pub closed_flow_timeout: Duration,
    /// Optional exceptions per second of all services together, so that the control traffic does
    /// not grow with the number of services.
    pub optional_publish_rate: f64,
    /// Bytes per second that a rebase may send to all peers together.
    pub rebase_bytes_per_s: f64,
    /// Bytes per second at which a leaving member hands over the flows that it knows.
    pub handover_bytes_per_s: f64,
    /// Switches for tests.
    pub mechanisms: Mechanisms,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        Self {
            member: MemberId::default(),
            incarnation: Incarnation::default(),
            name: Box::default(),
            zone: ZoneName::default(),
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            seed: 0,
            heartbeat_interval: Duration::from_secs(1),
            dead_timeout: Duration::from_secs(3),
            join_timeout: Duration::from_secs(3),
            drain_quiet: Duration::from_secs(5),
            drain_deadline: Duration::from_secs(60),
            closed_flow_timeout: Duration::from_secs(60),
            optional_publish_rate: 0.4,
            rebase_bytes_per_s: 16_000.0,
            handover_bytes_per_s: 250_000.0,
            mechanisms: Mechanisms::default(),
        }
    }
}
