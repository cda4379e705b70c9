use std::net::SocketAddr;
use std::time::Duration;

use hashbrown::HashMap;
use serde::{Deserialize, Serialize};

use crate::ids::ZoneName;
use crate::units::MonoTime;

/// Decides which peers a balancer answers itself and which it refers to others.
///
/// It answers a bounded number of peers and refers the rest to these, so that the peers form a
/// tree: the cost of each balancer stays the same however many there are.
#[derive(Debug)]
pub struct FanOut {
    capacity: usize,
    leases: HashMap<SocketAddr, Lease>,
}

/// Names a balancer that asks a peer for news and can answer others itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerInfo {
    /// Where it answers peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// Tells whether a peer is answered here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is.
    Accept,
    /// It has to ask one of these.
    Refer(Vec<SocketAddr>),
}

#[derive(Debug)]
struct Lease {
    zone: ZoneName,
    expires_at: MonoTime,
}

/// How long a place is kept after a question; a peer asks at least once a second.
const LEASE_DURATION: Duration = Duration::from_secs(3);

impl FanOut {
    /// The places of a balancer: three relays reach 816 balancers in two steps, and 13,000 in
    /// three.
    pub const DEFAULT_CAPACITY: usize = 16;

    /// Returns a balancer with `places` free places.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            leases: HashMap::new(),
        }
    }

    /// Decides about a question of `peer`.
    ///
    /// Peers are referred within their availability zone if possible, so that news crosses the
    /// zones' borders once.
    pub fn admit(&mut self, now: MonoTime, peer: &PeerInfo) -> Admission {
        self.leases.retain(|_, lease| now < lease.expires_at);
        if self.leases.len() < self.capacity || self.leases.contains_key(&peer.address) {
            let lease = Lease {
                zone: peer.zone.clone(),
                expires_at: now + LEASE_DURATION,
            };
            self.leases.insert(peer.address, lease);
            return Admission::Accept;
        }
        let near = self.leases.iter().filter(|(_, p)| p.zone == peer.zone);
        let mut peers: Vec<SocketAddr> = near.map(|(address, _)| *address).collect();
        if peers.is_empty() {
            peers.extend(self.leases.keys());
        }
        peers.sort_unstable();
        Admission::Refer(peers)
    }

    /// Returns the number of peers that are answered here.
    pub fn active_leases(&self, now: MonoTime) -> usize {
        self.leases.values().filter(|p| now < p.expires_at).count()
    }
}
