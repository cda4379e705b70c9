use std::net::SocketAddr;
use std::time::Duration;

use hashbrown::HashMap;
use serde::{Deserialize, Serialize};

use crate::ids::ZoneName;
use crate::units::{LinkRate, MonoTime};

/// Admission control for peers that request updates from this balancer.
///
/// A balancer serves a bounded number of peers and refers the others to these, so that the peers
/// form a tree: the load on each balancer does not depend on the number of balancers.
#[derive(Debug)]
pub struct FanOut {
    capacity: usize,
    leases: HashMap<SocketAddr, Lease>,
}

/// A balancer that requests updates from a peer and can serve other peers itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerInfo {
    /// The address at which it serves peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The outcome of a peer's request for updates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// This balancer serves the peer.
    Accept,
    /// The peer has to ask one of these addresses.
    Refer(Vec<SocketAddr>),
}

#[derive(Debug)]
struct Lease {
    zone: ZoneName,
    expires_at: MonoTime,
}

/// The bounds of the number of peers, and the share of the link that each needs, in Mbit/s: a full
/// list of 600 targets then takes a peer 60 ms when all peers start at once.
const MIN_CAPACITY: usize = 16;
const MAX_CAPACITY: usize = 48;
const MBPS_PER_PEER: u32 = 4;
/// How long a lease lasts after a request; a peer sends a request at least once a second.
const LEASE_DURATION: Duration = Duration::from_secs(3);

impl FanOut {
    /// Returns the number of peers that a balancer with this link serves.
    ///
    /// With 16 on every host, three relays reach 816 balancers in two hops and 13,000 in three; a
    /// host with a faster link serves more, so that fewer balancers are two hops away.
    pub fn capacity_for(link: Option<LinkRate>) -> usize {
        let capacity = link.map_or(0, |rate| rate.get() / MBPS_PER_PEER);
        usize::try_from(capacity)
            .unwrap_or(MAX_CAPACITY)
            .clamp(MIN_CAPACITY, MAX_CAPACITY)
    }

    /// Returns an empty set of leases that serves up to `capacity` peers.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            leases: HashMap::new(),
        }
    }

    /// Grants or renews the lease of `peer`, or refers it to other peers.
    ///
    /// Peers are referred within their availability zone if possible, so that updates cross zone
    /// boundaries once.
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
        let near = self.leases.iter().filter(|(_, l)| l.zone == peer.zone);
        let mut peers: Vec<SocketAddr> = near.map(|(address, _)| *address).collect();
        if peers.is_empty() {
            peers.extend(self.leases.keys());
        }
        peers.sort_unstable();
        Admission::Refer(peers)
    }

    /// Returns the number of peers that are served here.
    pub fn active_leases(&self, now: MonoTime) -> usize {
        self.leases.values().filter(|l| now < l.expires_at).count()
    }
}
