use std::time::Duration;

use super::{Outbox, PeerMessage, SnapshotFetch, SyncLossReason};
use crate::ids::{MemberId, ZoneName};
use crate::membership::{MemberState, Peer, Peers};
use crate::units::MonoTime;

/// The time for which a missing publication may still arrive by retransmission. It is shorter than
/// the time after which the publisher releases held packets without an acknowledgement.
const GAP_TIMEOUT: Duration = Duration::from_millis(20);

/// The time between two fetches. Without it, the next fetch would follow at once after a snapshot
/// that does not close a gap.
const FETCH_SPACING: Duration = Duration::from_millis(100);

/// The synchronisation of this member, which fetches snapshots until no publication is missing.
#[derive(Clone, Debug)]
pub(super) struct SyncState {
    phase: SyncPhase,
    fetch: Option<SnapshotFetch>,
    /// Whether a snapshot is needed although no publication is known to be missing.
    needs_snapshot: bool,
    /// The peer whose snapshot is needed, or `None` if that of any peer will do.
    required_source: Option<MemberId>,
    loss: SyncLossReason,
    fetches: u32,
    /// The earliest time at which the next fetch may start.
    next_fetch_at: MonoTime,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SyncPhase {
    /// Waits until all known peers have sent a heartbeat; they then include this member in their
    /// publications.
    Contacting { until: MonoTime },
    /// Fetches snapshots.
    Fetching,
    /// Holds all publications that it knows of.
    Done,
}

impl SyncState {
    /// Returns the state of a member that joins.
    pub(super) fn new(until: MonoTime) -> Self {
        Self {
            phase: SyncPhase::Contacting { until },
            fetch: None,
            needs_snapshot: true,
            required_source: None,
            loss: SyncLossReason::Joined,
            fetches: 0,
            next_fetch_at: MonoTime::default(),
        }
    }

    /// Returns whether this member holds every publication that it knows of.
    pub(super) fn is_done(&self) -> bool {
        self.phase == SyncPhase::Done
    }

    /// Returns whether this member still waits for the first heartbeats of known peers.
    pub(super) fn is_contacting(&self) -> bool {
        matches!(self.phase, SyncPhase::Contacting { .. })
    }

    /// Returns the reason for the last loss of synchronisation.
    pub(super) fn loss(&self) -> SyncLossReason {
        self.loss
    }

    /// Restarts the synchronisation as for a joining member.
    pub(super) fn restart(&mut self, until: MonoTime, loss: SyncLossReason) {
        *self = Self {
            loss,
            fetches: self.fetches,
            next_fetch_at: self.next_fetch_at,
            ..Self::new(until)
        };
    }

    /// Requires a snapshot of `peer`, even if no publication is missing.
    pub(super) fn require_snapshot_from(&mut self, peer: MemberId, loss: SyncLossReason) {
        self.phase = SyncPhase::Fetching;
        self.needs_snapshot = true;
        self.required_source = Some(peer);
        self.loss = loss;
    }

    /// Advances the synchronisation; returns whether it was gained or lost.
    pub(super) fn poll(
        &mut self,
        now: MonoTime,
        this: (MemberId, &ZoneName),
        peers: &Peers,
        outbox: &mut Outbox<'_>,
    ) -> Option<SyncChange> {
        match self.phase {
            SyncPhase::Contacting { until } => {
                let known = peers.iter().count();
                let contacted = known > 0 && peers.iter().all(|p| p.contacted);
                if !contacted && now < until {
                    return None;
                }
                self.phase = SyncPhase::Fetching;
                self.poll(now, this, peers, outbox)
            }
            SyncPhase::Fetching => self.poll_fetch(now, this, peers, outbox),
            SyncPhase::Done => {
                let since = peers.behind_since()?;
                if now.since(since) < GAP_TIMEOUT {
                    return None;
                }
                outbox.counters.gaps += 1;
                self.phase = SyncPhase::Fetching;
                self.loss = SyncLossReason::Gap;
                self.poll_fetch(now, this, peers, outbox);
                Some(SyncChange::Lost(SyncLossReason::Gap))
            }
        }
    }

    /// Accepts a snapshot part; returns whether the part is new, and the fetch once it is complete.
    pub(super) fn accept(
        &mut self,
        now: MonoTime,
        from: MemberId,
        part: &mut PeerMessage,
        outbox: &mut Outbox<'_>,
    ) -> (bool, Option<SnapshotFetch>) {
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.peer == from) else {
            return (false, None);
        };
        let new = fetch.accept(now, part, outbox);
        if !fetch.is_complete() {
            return (new, None);
        }
        self.needs_snapshot = false;
        self.required_source = None;
        self.next_fetch_at = now + FETCH_SPACING;
        outbox.counters.snapshots_received += 1;
        (new, self.fetch.take())
    }

    /// Returns the next time at which [`Self::poll`] has something to do.
    pub(super) fn next_deadline(&self, peers: &Peers) -> Option<MonoTime> {
        match self.phase {
            SyncPhase::Contacting { until } => Some(until),
            SyncPhase::Fetching => {
                let due = self.fetch.as_ref().map(SnapshotFetch::due);
                due.or(Some(self.next_fetch_at))
            }
            SyncPhase::Done => peers.behind_since().map(|t| t + GAP_TIMEOUT),
        }
    }

    fn poll_fetch(
        &mut self,
        now: MonoTime,
        this: (MemberId, &ZoneName),
        peers: &Peers,
        outbox: &mut Outbox<'_>,
    ) -> Option<SyncChange> {
        if self.needs_snapshot && bootstraps_group(this.0, peers) {
            self.needs_snapshot = false;
            self.required_source = None;
        }
        if !self.needs_snapshot && peers.behind_since().is_none() {
            self.phase = SyncPhase::Done;
            self.fetch = None;
            return Some(SyncChange::Gained);
        }
        let source = self.fetch.as_ref().map(|f| f.peer);
        let alive = source.and_then(|p| peers.get(p)).is_some_and(|p| p.alive);
        let idle = self.fetch.is_none();
        if idle && now < self.next_fetch_at {
            return None;
        }
        if !alive || self.fetch.as_ref().is_some_and(SnapshotFetch::has_failed) {
            self.fetch = self.choose_source(this.1, peers, source).map(|peer| {
                self.fetches += 1;
                SnapshotFetch::new(now, peer, self.fetches)
            });
        }
        match &mut self.fetch {
            Some(fetch) => fetch.poll(now, outbox),
            // No live peer can serve a snapshot yet.
            None => self.next_fetch_at = now + FETCH_SPACING,
        }
        None
    }

    /// Returns the peer from which to fetch a snapshot.
    ///
    /// The peer of `required_source` comes first, then one whose publications are missing, then a
    /// synchronised one, if possible in this availability zone. `failed` did not answer before.
    fn choose_source(
        &self,
        zone: &ZoneName,
        peers: &Peers,
        failed: Option<MemberId>,
    ) -> Option<MemberId> {
        let required = self.required_source.and_then(|id| peers.get(id));
        let required = required.filter(|p| p.alive && Some(p.id) != failed);
        if let Some(p) = required {
            return Some(p.id);
        }
        let rank = |p: &&Peer| {
            let missing = !self.needs_snapshot && p.behind_since().is_some();
            let retry = Some(p.id) == failed;
            (retry, !missing, !p.synchronised, p.zone != *zone, p.id)
        };
        // The base sets of a starting peer may still come only from its own settings.
        let can_serve =
            |p: &&Peer| !self.needs_snapshot || p.synchronised || p.state != MemberState::Starting;
        peers
            .live()
            .filter(can_serve)
            .min_by_key(rank)
            .map(|p| p.id)
    }
}

/// Returns whether this member starts the group without a snapshot: no peer is alive, or all
/// members are starting and this one has the lowest id.
fn bootstraps_group(this: MemberId, peers: &Peers) -> bool {
    let fresh = |p: &Peer| !p.synchronised && p.state == MemberState::Starting;
    peers.live().all(|p| fresh(p) && this < p.id)
}

/// A change of the synchronisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SyncChange {
    /// The member now holds every publication that it knows of.
    Gained,
    /// The member may lack publications.
    Lost(SyncLossReason),
}
