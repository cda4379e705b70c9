use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::units::MonoTime;

use crate::steering::capacity::GRANT_TERM;
use crate::steering::{CapacityShare, HeldShare, ShareGrant, ShareRequest};

/// The parts of its own interval that a balancer has granted to its peers.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    peers: BTreeMap<SocketAddr, Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    /// The balancers behind the peer, itself included.
    subtree: u32,
    seen_at: MonoTime,
    /// The grants in force with their ends. Without a response that arrives, the peer still uses an
    /// earlier one.
    grants: Vec<(CapacityShare, MonoTime)>,
}

/// The time without a request after which a peer gets no part; peers send one about once a second.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of balancers behind a peer that is believed.
const MAX_SUBTREE: u32 = 65_536;

impl ShareLedger {
    /// Grants the peer its part of `held`, reduced by what is covered by grants of other peers.
    ///
    /// Returns `None` if nothing is held or nothing of the part is free. The grant ends no later
    /// than what is held.
    pub fn grant(
        &mut self,
        now: MonoTime,
        held: &HeldShare,
        req: &ShareRequest,
    ) -> Option<ShareGrant> {
        self.forget_ended(now);
        let peer = self.peers.entry(req.peer).or_insert_with(|| Peer {
            subtree: 1,
            seen_at: now,
            grants: Vec::new(),
        });
        peer.subtree = req.subtree.clamp(1, MAX_SUBTREE);
        peer.seen_at = now;
        let (held, remaining) = held.current(now)?;
        let before = self.peers.range(..req.peer);
        let from = 1 + before.map(|(_, p)| u64::from(p.weight(now))).sum::<u64>();
        let to = from + u64::from(req.subtree.clamp(1, MAX_SUBTREE));
        let part = held.fraction(from, to, u64::from(self.subtree(now)))?;
        let others = self.peers.iter().filter(|(a, _)| **a != req.peer);
        let share = part.largest_free(others.flat_map(|(_, p)| p.grants_at(now)))?;
        // Whole milliseconds are sent, so the fraction is lost for both sides.
        let term = whole_millis(remaining.min(GRANT_TERM));
        if let Some(peer) = self.peers.get_mut(&req.peer) {
            // The response may get lost, and the peer then uses an earlier grant to its end.
            let end = now + term;
            match peer.grants.iter_mut().find(|(s, _)| *s == share) {
                Some((_, until)) => *until = end.max(*until),
                None => peer.grants.push((share, end)),
            }
        }
        Some(ShareGrant {
            share,
            valid_for: whole_millis(now.since(req.arrived)) + term,
        })
    }

    /// Returns the part of `held` that the balancer uses itself.
    pub fn own_part(&self, now: MonoTime, held: CapacityShare) -> Option<CapacityShare> {
        let part = held.fraction(0, 1, u64::from(self.subtree(now)))?;
        part.largest_free(self.peers.values().flat_map(|p| p.grants_at(now)))
    }

    /// Returns the number of balancers behind this one, itself included.
    pub fn subtree(&self, now: MonoTime) -> u32 {
        let peers = self.peers.values().map(|p| p.weight(now));
        peers.fold(1, u32::saturating_add)
    }

    fn forget_ended(&mut self, now: MonoTime) {
        for peer in self.peers.values_mut() {
            peer.grants.retain(|(_, until)| now < *until);
        }
        self.peers
            .retain(|_, p| p.weight(now) > 0 || !p.grants.is_empty());
    }
}

impl Peer {
    /// Returns the number of balancers that count in the division; 0 once the peer is lost.
    fn weight(&self, now: MonoTime) -> u32 {
        if now.since(self.seen_at) < PEER_TIMEOUT {
            self.subtree
        } else {
            0
        }
    }

    fn grants_at(&self, now: MonoTime) -> impl Iterator<Item = CapacityShare> + '_ {
        let in_force = self.grants.iter().filter(move |(_, until)| now < *until);
        in_force.map(|(share, _)| *share)
    }
}

fn whole_millis(duration: Duration) -> Duration {
    Duration::from_millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
