use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use zinniadrift_core::distribution::LiveMember;
use zinniadrift_core::gateway::Peer;
use zinniadrift_core::ids::{MemberId, ZoneName};
use zinniadrift_core::membership::Host;
use zinniadrift_core::units::MonoTime;

use crate::distribution::MemberAddress;

/// The silence after which a gateway counts as dead, as among balancers.
const DEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The silence after which a gateway that is not in the seeds or the status list is forgotten.
const FORGET_TIMEOUT: Duration = Duration::from_secs(600);

/// Tracks the other gateways of the user's group.
///
/// It only chooses the writers of claim shards and the sources of settings; a wrong view costs a
/// failed call and never correctness.
#[derive(Debug)]
pub(super) struct Group {
    own: MemberId,
    peers: HashMap<MemberId, GroupPeer>,
}

#[derive(Debug)]
struct GroupPeer {
    zone: ZoneName,
    address: SocketAddr,
    heard: Option<MonoTime>,
    known_since: MonoTime,
}

impl Group {
    /// Returns a group in which only this gateway is known.
    pub(super) fn new(own: MemberId) -> Self {
        Self {
            own,
            peers: HashMap::new(),
        }
    }

    /// Adds a gateway from the seeds or the status list.
    pub(super) fn learn(&mut self, now: MonoTime, host: &Host) {
        if host.member_id() == self.own {
            return;
        }
        let peer = self
            .peers
            .entry(host.member_id())
            .or_insert_with(|| GroupPeer {
                zone: host.zone.clone(),
                address: host.address,
                heard: None,
                known_since: now,
            });
        peer.known_since = now;
        let silent = peer.heard.is_none_or(|t| now.since(t) > DEAD_TIMEOUT);
        if silent {
            peer.address = host.address;
        }
    }

    /// Records a heartbeat.
    pub(super) fn hear(&mut self, now: MonoTime, host: &Host) {
        self.learn(now, host);
        if let Some(peer) = self.peers.get_mut(&host.member_id()) {
            peer.address = host.address;
            peer.zone = host.zone.clone();
            peer.heard = Some(now);
        }
    }

    /// Records that a gateway stopped.
    pub(super) fn leave(&mut self, member: MemberId) {
        if let Some(peer) = self.peers.get_mut(&member) {
            peer.heard = None;
        }
    }

    /// Forgets gateways that were neither heard nor listed for long.
    pub(super) fn forget(&mut self, now: MonoTime) {
        self.peers
            .retain(|_, p| now.since(p.known_since) < FORGET_TIMEOUT);
    }

    /// Returns the address of a gateway.
    pub(super) fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        self.peers.get(&member).map(|p| p.address)
    }

    /// Returns the addresses to which heartbeats go.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|p| p.address).collect()
    }

    /// Returns the live gateways, sorted by id.
    pub(super) fn live(&self, now: MonoTime) -> Vec<MemberAddress> {
        let is_live = |p: &GroupPeer| p.heard.is_some_and(|t| now.since(t) < DEAD_TIMEOUT);
        let live = self.peers.iter().filter(|(_, p)| is_live(p));
        let mut live: Vec<_> = live
            .map(|(id, p)| MemberAddress {
                member: LiveMember {
                    id: *id,
                    zone: p.zone.clone(),
                },
                address: p.address,
            })
            .collect();
        live.sort_by_key(|m| m.member.id);
        live
    }
}

impl From<&MemberAddress> for Peer {
    fn from(m: &MemberAddress) -> Self {
        Self {
            member: m.member.id,
            zone: m.member.zone.clone(),
        }
    }
}
