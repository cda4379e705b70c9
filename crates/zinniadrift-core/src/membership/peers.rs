use std::time::Duration;

use super::{Host, Peer, PublicationMark};
use crate::ids::MemberId;
use crate::units::MonoTime;

/// The known peers of a group, sorted by id in a vector, as groups have 6 to 8 members.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    /// Returns all known peers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Returns all known peers for changes.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.iter_mut()
    }

    /// Returns the peers that are considered alive.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|p| p.alive)
    }

    /// Returns the peer with the given id.
    pub(crate) fn get(&self, id: MemberId) -> Option<&Peer> {
        self.position(id).ok().map(|i| &self.peers[i])
    }

    /// Returns the peer with the given id for changes.
    pub(crate) fn get_mut(&mut self, id: MemberId) -> Option<&mut Peer> {
        self.position(id).ok().map(|i| &mut self.peers[i])
    }

    /// Adds a peer unless its id is known.
    pub(crate) fn add(&mut self, peer: Peer) {
        if let Err(i) = self.position(peer.id) {
            self.peers.insert(i, peer);
        }
    }

    /// Adds the peers on hosts that are not known yet, except this member itself.
    pub(crate) fn add_hosts(&mut self, this: MemberId, hosts: &[Host]) {
        for host in hosts.iter().filter(|h| h.member_id() != this) {
            self.add(Peer::from_host(host));
        }
    }

    /// Marks the peers dead from which no message arrived for `timeout`, and returns their ids.
    pub(crate) fn expire(&mut self, now: MonoTime, timeout: Duration) -> Vec<MemberId> {
        let is_expired = |p: &Peer| p.alive && now.since(p.last_heard) >= timeout;
        let mut dead = Vec::new();
        for peer in self.peers.iter_mut().filter(|p| is_expired(p)) {
            peer.alive = false;
            dead.push(peer.id);
        }
        dead
    }

    /// Returns the earliest time at which a live peer is considered dead unless a message arrives.
    pub(crate) fn next_expiry(&self, timeout: Duration) -> Option<MonoTime> {
        self.live().map(|p| p.last_heard + timeout).min()
    }

    /// Returns the earliest time since which a publication of a live peer has been missing.
    pub(crate) fn behind_since(&self) -> Option<MonoTime> {
        self.live().filter_map(Peer::behind_since).min()
    }

    /// Returns whether no live peer has left a publication unacknowledged past its timeout.
    pub(crate) fn all_responsive(&self) -> bool {
        self.live().all(|p| !p.unresponsive)
    }

    /// Returns the number of live peers that take new flows.
    pub(crate) fn serving_count(&self) -> usize {
        self.peers.iter().filter(|p| p.is_serving()).count()
    }

    /// Returns the publication marks of all peers, for a snapshot.
    pub(crate) fn marks(&self) -> Vec<PublicationMark> {
        self.peers.iter().filter_map(Peer::mark).collect()
    }

    fn position(&self, id: MemberId) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&id, |p| p.id)
    }
}
