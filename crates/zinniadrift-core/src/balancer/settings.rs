use std::time::Duration;

use crate::ids::{Incarnation, MemberId, ZoneName};

/// Configures the state machine of one balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// This member's id.
    pub member: MemberId,
    /// This run of the member.
    pub incarnation: Incarnation,
    /// This member's configured name.
    pub name: Box<str>,
    /// This member's availability zone.
    pub zone: ZoneName,
    /// The seed of all random choices.
    pub seed: u64,
    /// The time between two heartbeats to each peer.
    pub heartbeat_interval: Duration,
    /// The silence after which a peer counts as dead.
    pub dead_timeout: Duration,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        Self {
            member: MemberId::default(),
            incarnation: Incarnation::default(),
            name: Box::default(),
            zone: ZoneName::default(),
            seed: 0,
            heartbeat_interval: Duration::from_secs(1),
            dead_timeout: Duration::from_secs(3),
        }
    }
}
