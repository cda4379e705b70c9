use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{Heartbeat, Host, MemberState, PublicationMark};
use crate::balancer::RebaseStatus;
use crate::ids::{Incarnation, MemberId, ServiceId, ZoneName};
use crate::units::{MonoTime, Version};

/// Publications that may arrive before an earlier one; beyond it a snapshot is needed anyway.
const AHEAD_CAPACITY: usize = 1_024;

/// Is what this member knows of another one.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) id: MemberId,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) alive: bool,
    /// Whether this run of the peer said goodbye.
    pub(crate) has_left: bool,
    pub(crate) last_heard: MonoTime,
    /// Whether the peer let a publication time out and was not heard from since.
    pub(crate) unresponsive: bool,
    /// Whether a heartbeat arrived since this member last lost its synchronisation as a whole.
    pub(crate) contacted: bool,
    pub(crate) state: MemberState,
    pub(crate) synchronised: bool,
    pub(crate) settings_version: Version,
    pub(crate) bases_digest: u64,
    pub(crate) rebases: Vec<RebaseStatus>,
    /// The last publication before which none is missing.
    complete: u64,
    ahead: BTreeSet<u64>,
    /// The highest publication that the peer is known to have sent.
    announced: u64,
    behind_since: Option<MonoTime>,
}

impl Peer {
    /// Returns a peer that was never heard from.
    pub(crate) fn new(id: MemberId, zone: ZoneName, address: SocketAddr) -> Self {
        Self {
            id,
            zone,
            address,
            incarnation: None,
            alive: false,
            has_left: false,
            last_heard: MonoTime::default(),
            unresponsive: false,
            contacted: false,
            state: MemberState::Starting,
            synchronised: false,
            settings_version: Version::default(),
            bases_digest: 0,
            rebases: Vec::new(),
            complete: 0,
            ahead: BTreeSet::new(),
            announced: 0,
            behind_since: None,
        }
    }

    /// Returns a peer from a list of hosts.
    pub(crate) fn from_host(host: &Host) -> Self {
        Self::new(host.member_id(), host.zone.clone(), host.address)
    }

    /// Starts over for a new run of the peer.
    pub(crate) fn reset(&mut self, incarnation: Incarnation) {
        *self = Self {
            incarnation: Some(incarnation),
            alive: self.alive,
            last_heard: self.last_heard,
            ..Self::new(self.id, self.zone.clone(), self.address)
        };
    }

    /// Takes over a heartbeat.
    pub(crate) fn apply_heartbeat(&mut self, now: MonoTime, h: Heartbeat) {
        self.zone = h.zone;
        self.address = h.address;
        self.state = h.state;
        self.synchronised = h.synchronised;
        self.settings_version = h.settings_version;
        self.bases_digest = h.bases_digest;
        self.rebases = h.rebases;
        self.contacted = true;
        self.announce(now, h.last_publication);
    }

    /// Records that a publication arrived.
    pub(crate) fn record_publication(&mut self, now: MonoTime, number: u64) {
        if number == self.complete + 1 {
            self.complete = number;
        } else if number > self.complete && self.ahead.len() < AHEAD_CAPACITY {
            self.ahead.insert(number);
        }
        self.absorb();
        self.announce(now, number);
    }

    /// Records that a snapshot holds all publications up to `number`.
    pub(crate) fn record_snapshot(&mut self, now: MonoTime, number: u64) {
        self.complete = self.complete.max(number);
        self.absorb();
        self.announce(now, number);
    }

    /// Returns the mark for a snapshot.
    pub(crate) fn mark(&self) -> Option<PublicationMark> {
        self.incarnation.map(|incarnation| PublicationMark {
            member: self.id,
            incarnation,
            number: self.complete,
        })
    }

    /// Returns the time since which a publication of the peer is missing.
    pub(crate) fn behind_since(&self) -> Option<MonoTime> {
        self.behind_since
    }

    /// Tells whether unknown flows can be relayed to the peer.
    pub(crate) fn accepts_relays(&self) -> bool {
        self.alive && self.synchronised && !self.unresponsive
    }

    /// Tells whether the peer counts as a publisher and for the load.
    pub(crate) fn is_serving(&self) -> bool {
        self.alive && self.state == MemberState::Serving
    }

    /// Returns the peer's status of a service in transition.
    pub(crate) fn rebase_status(&self, service: ServiceId) -> Option<&RebaseStatus> {
        self.rebases.iter().find(|r| r.service == service)
    }

    fn announce(&mut self, now: MonoTime, number: u64) {
        self.announced = self.announced.max(number);
        if self.complete >= self.announced {
            self.behind_since = None;
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    fn absorb(&mut self) {
        while let Some(first) = self.ahead.first().copied() {
            if first > self.complete + 1 {
                return;
            }
            self.complete = self.complete.max(first);
            self.ahead.pop_first();
        }
    }
}
