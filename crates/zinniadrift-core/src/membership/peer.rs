use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{Heartbeat, Host, MemberState, PublicationMark};
use crate::balancer::RebaseStatus;
use crate::ids::{Incarnation, MemberId, ServiceId, ZoneName};
use crate::units::{MonoTime, Version};

/// The most publications that are recorded out of order; a larger gap needs a snapshot anyway.
const OUT_OF_ORDER_CAPACITY: usize = 1_024;

/// The state of another member as known to this one.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) id: MemberId,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) alive: bool,
    /// Whether the peer sent a goodbye in its current incarnation.
    pub(crate) has_left: bool,
    pub(crate) last_heard: MonoTime,
    /// Whether the peer failed to acknowledge a publication in time and has sent nothing since.
    pub(crate) unresponsive: bool,
    /// Whether the peer sent a heartbeat since this member started or last restarted its whole
    /// synchronisation.
    pub(crate) contacted: bool,
    pub(crate) state: MemberState,
    pub(crate) synchronised: bool,
    pub(crate) settings_version: Version,
    pub(crate) bases_digest: u64,
    pub(crate) rebases: Vec<RebaseStatus>,
    /// The number up to which all publications of the peer have arrived.
    contiguous: u64,
    out_of_order: BTreeSet<u64>,
    /// The number of the highest publication that the peer is known to have sent.
    highest_sent: u64,
    behind_since: Option<MonoTime>,
}

impl Peer {
    /// Returns a peer from which no message has arrived yet.
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
            contiguous: 0,
            out_of_order: BTreeSet::new(),
            highest_sent: 0,
            behind_since: None,
        }
    }

    /// Returns the peer on `host`, from which no message has arrived yet.
    pub(crate) fn from_host(host: &Host) -> Self {
        Self::new(host.member_id(), host.zone.clone(), host.address)
    }

    /// Resets the state for a new incarnation of the peer, except for its zone, address and
    /// liveness.
    pub(crate) fn reset(&mut self, incarnation: Incarnation) {
        *self = Self {
            incarnation: Some(incarnation),
            alive: self.alive,
            last_heard: self.last_heard,
            ..Self::new(self.id, self.zone.clone(), self.address)
        };
    }

    /// Updates the peer from its heartbeat.
    pub(crate) fn apply_heartbeat(&mut self, now: MonoTime, h: Heartbeat) {
        self.zone = h.zone;
        self.address = h.address;
        self.state = h.state;
        self.synchronised = h.synchronised;
        self.settings_version = h.settings_version;
        self.bases_digest = h.bases_digest;
        self.rebases = h.rebases;
        self.contacted = true;
        self.note_sent(now, h.last_publication);
    }

    /// Records that the publication `number` arrived.
    pub(crate) fn record_publication(&mut self, now: MonoTime, number: u64) {
        if number == self.contiguous + 1 {
            self.contiguous = number;
        } else if number > self.contiguous && self.out_of_order.len() < OUT_OF_ORDER_CAPACITY {
            self.out_of_order.insert(number);
        }
        self.advance_contiguous();
        self.note_sent(now, number);
    }

    /// Records that a snapshot contains all publications up to `number`.
    pub(crate) fn record_snapshot(&mut self, now: MonoTime, number: u64) {
        self.contiguous = self.contiguous.max(number);
        self.advance_contiguous();
        self.note_sent(now, number);
    }

    /// Returns the mark up to which this member has the peer's publications, or `None` if no
    /// message of the peer has arrived.
    pub(crate) fn mark(&self) -> Option<PublicationMark> {
        self.incarnation.map(|incarnation| PublicationMark {
            member: self.id,
            incarnation,
            number: self.contiguous,
        })
    }

    /// Returns the time since which a publication of the peer has been missing.
    pub(crate) fn behind_since(&self) -> Option<MonoTime> {
        self.behind_since
    }

    /// Returns whether packets of unknown flows can be relayed to the peer.
    pub(crate) fn accepts_relays(&self) -> bool {
        self.alive && self.synchronised && !self.unresponsive
    }

    /// Returns whether the peer is alive and takes new flows, so that it may publish and shares the
    /// load.
    pub(crate) fn is_serving(&self) -> bool {
        self.alive && self.state == MemberState::Serving
    }

    /// Returns the status of the peer's transition of `service` to another base set, if one is in
    /// progress.
    pub(crate) fn rebase_status(&self, service: ServiceId) -> Option<&RebaseStatus> {
        self.rebases.iter().find(|r| r.service == service)
    }

    fn note_sent(&mut self, now: MonoTime, number: u64) {
        self.highest_sent = self.highest_sent.max(number);
        if self.contiguous >= self.highest_sent {
            self.behind_since = None;
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    fn advance_contiguous(&mut self) {
        while let Some(first) = self.out_of_order.first().copied() {
            if first > self.contiguous + 1 {
                return;
            }
            self.contiguous = self.contiguous.max(first);
            self.out_of_order.pop_first();
        }
    }
}
