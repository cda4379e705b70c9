use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use zinniadrift_core::distribution::LiveMember;
use zinniadrift_core::gateway::Peer;
use zinniadrift_core::ids::{MemberId, ZoneName};
use zinniadrift_core::membership::Host;
use zinniadrift_core::units::MonoTime;

use crate::distribution::MemberAddress;

/// The time without a heartbeat after which a gateway counts as dead; the same as for balancers.
const DEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The time after which a gateway without heartbeats that is no longer listed is removed.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(600);

/// The other gateways of the user's group.
///
/// The live gateways are used only to choose the writers of claim shards and the sources of
/// settings; an outdated view costs a failed call but never correctness.
#[derive(Debug)]
pub(super) struct GatewayGroup {
    own_id: MemberId,
    members: HashMap<MemberId, GroupMember>,
}

#[derive(Debug)]
struct GroupMember {
    zone: ZoneName,
    address: SocketAddr,
    last_heartbeat: Option<MonoTime>,
    last_seen: MonoTime,
}

impl GatewayGroup {
    /// Returns a group in which only this gateway is known.
    pub(super) fn new(own_id: MemberId) -> Self {
        Self {
            own_id,
            members: HashMap::new(),
        }
    }

    /// Adds or refreshes a gateway from the seeds or the status list.
    pub(super) fn add_listed(&mut self, now: MonoTime, host: &Host) {
        if host.member_id() == self.own_id {
            return;
        }
        let member = self
            .members
            .entry(host.member_id())
            .or_insert_with(|| GroupMember {
                zone: host.zone.clone(),
                address: host.address,
                last_heartbeat: None,
                last_seen: now,
            });
        member.last_seen = now;
        let is_silent = member
            .last_heartbeat
            .is_none_or(|t| now.since(t) > DEAD_TIMEOUT);
        if is_silent {
            member.address = host.address;
        }
    }

    /// Records a heartbeat.
    pub(super) fn record_heartbeat(&mut self, now: MonoTime, host: &Host) {
        self.add_listed(now, host);
        if let Some(member) = self.members.get_mut(&host.member_id()) {
            member.address = host.address;
            member.zone = host.zone.clone();
            member.last_heartbeat = Some(now);
        }
    }

    /// Records that a gateway left the group; it is no longer live.
    pub(super) fn mark_left(&mut self, member: MemberId) {
        if let Some(member) = self.members.get_mut(&member) {
            member.last_heartbeat = None;
        }
    }

    /// Removes gateways without a heartbeat or a listing within [`EVICTION_TIMEOUT`].
    pub(super) fn evict_stale(&mut self, now: MonoTime) {
        self.members
            .retain(|_, m| now.since(m.last_seen) < EVICTION_TIMEOUT);
    }

    /// Returns the address of a gateway.
    pub(super) fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        self.members.get(&member).map(|m| m.address)
    }

    /// Returns the addresses of all known gateways.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.members.values().map(|m| m.address).collect()
    }

    /// Returns the live gateways, sorted by id.
    pub(super) fn live_members(&self, now: MonoTime) -> Vec<MemberAddress> {
        let is_live = |m: &GroupMember| {
            m.last_heartbeat
                .is_some_and(|t| now.since(t) < DEAD_TIMEOUT)
        };
        let live = self.members.iter().filter(|(_, m)| is_live(m));
        let mut live: Vec<_> = live
            .map(|(id, m)| MemberAddress {
                member: LiveMember {
                    id: *id,
                    zone: m.zone.clone(),
                },
                address: m.address,
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
