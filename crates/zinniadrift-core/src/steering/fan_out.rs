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
    places: usize,
    taken: HashMap<SocketAddr, Place>,
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
struct Place {
    zone: ZoneName,
    until: MonoTime,
}

/// How long a place is kept after a question; a peer asks at least once a second.
const PLACE_LIFE: Duration = Duration::from_secs(3);

impl FanOut {
    /// The places of a balancer: three relays reach 816 balancers in two steps, and 13,000 in
    /// three.
    pub const DEFAULT_CAPACITY: usize = 16;

    /// Returns a balancer with `places` free places.
    pub fn new(places: usize) -> Self {
        Self {
            places,
            taken: HashMap::new(),
        }
    }

    /// Decides about a question of `peer`.
    ///
    /// Peers are referred within their availability zone if possible, so that news crosses the
    /// zones' borders once.
    pub fn admit(&mut self, now: MonoTime, peer: &PeerInfo) -> Admission {
        self.taken.retain(|_, place| now < place.until);
        if self.taken.len() < self.places || self.taken.contains_key(&peer.address) {
            let place = Place {
                zone: peer.zone.clone(),
                until: now + PLACE_LIFE,
            };
            self.taken.insert(peer.address, place);
            return Admission::Accept;
        }
        let near = self.taken.iter().filter(|(_, p)| p.zone == peer.zone);
        let mut peers: Vec<SocketAddr> = near.map(|(address, _)| *address).collect();
        if peers.is_empty() {
            peers.extend(self.taken.keys());
        }
        peers.sort_unstable();
        Admission::Refer(peers)
    }

    /// Returns the number of peers that are answered here.
    pub fn active_leases(&self, now: MonoTime) -> usize {
        self.taken.values().filter(|p| now < p.until).count()
    }
}
