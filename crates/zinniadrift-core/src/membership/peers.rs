use std::time::Duration;

use super::{Host, Peer, PublicationMark};
use crate::ids::MemberId;
use crate::units::MonoTime;

/// Holds the known peers of a group, sorted by id; groups have 6 to 8 members.
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

    /// Returns the peers that count as alive.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|p| p.alive)
    }

    /// Returns a peer.
    pub(crate) fn get(&self, id: MemberId) -> Option<&Peer> {
        self.position(id).ok().map(|i| &self.peers[i])
    }

    /// Returns a peer for changes.
    pub(crate) fn get_mut(&mut self, id: MemberId) -> Option<&mut Peer> {
        self.position(id).ok().map(|i| &mut self.peers[i])
    }

    /// Adds a peer unless it is known.
    pub(crate) fn add(&mut self, peer: Peer) {
        if let Err(i) = self.position(peer.id) {
            self.peers.insert(i, peer);
        }
    }

    /// Adds the hosts that are not known yet, except this member itself.
    pub(crate) fn add_hosts(&mut self, this: MemberId, hosts: &[Host]) {
        for host in hosts.iter().filter(|h| h.member_id() != this) {
            self.add(Peer::from_host(host));
        }
    }

    /// Marks peers dead that were silent for `timeout`, and returns them.
    pub(crate) fn expire(&mut self, now: MonoTime, timeout: Duration) -> Vec<MemberId> {
        let silent = |p: &Peer| p.alive && now.since(p.last_heard) >= timeout;
        let mut dead = Vec::new();
        for peer in self.peers.iter_mut().filter(|p| silent(p)) {
            peer.alive = false;
            dead.push(peer.id);
        }
        dead
    }

    /// Returns the next time at which a peer counts as dead unless it is heard from.
    pub(crate) fn next_expiry(&self, timeout: Duration) -> Option<MonoTime> {
        self.live().map(|p| p.last_heard + timeout).min()
    }

    /// Returns the first time since which a live peer's publication is missing.
    pub(crate) fn behind_since(&self) -> Option<MonoTime> {
        self.live().filter_map(Peer::behind_since).min()
    }

    /// Tells whether all live peers answered their last publications.
    pub(crate) fn all_responsive(&self) -> bool {
        self.live().all(|p| !p.unresponsive)
    }

    /// Returns the number of peers that take new flows.
    pub(crate) fn serving_count(&self) -> usize {
        self.peers.iter().filter(|p| p.is_serving()).count()
    }

    /// Returns the marks of all peers for a snapshot.
    pub(crate) fn marks(&self) -> Vec<PublicationMark> {
        self.peers.iter().filter_map(Peer::mark).collect()
    }

    fn position(&self, id: MemberId) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&id, |p| p.id)
    }
}
