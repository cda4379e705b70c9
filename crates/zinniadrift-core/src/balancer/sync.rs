use std::time::Duration;

use super::{Outbox, PeerMessage, SnapshotFetch, SyncLossReason};
use crate::ids::{MemberId, ZoneName};
use crate::membership::{MemberState, Peer, Peers};
use crate::units::MonoTime;

/// The time for which a missing publication may still arrive by retransmission. It is shorter than
/// the time after which the publisher releases the packets that wait for it.
const GAP_TIMEOUT: Duration = Duration::from_millis(20);

/// The time between two fetches. A snapshot that does not close a gap would otherwise be followed by
/// the next one at once.
const FETCH_SPACING: Duration = Duration::from_millis(100);

/// Tells whether this member holds all publications, and fetches snapshots until it does.
#[derive(Clone, Debug)]
pub(super) struct Sync {
    stage: Stage,
    fetch: Option<SnapshotFetch>,
    /// Whether a snapshot is needed although no publication is known to be missing.
    wants_snapshot: bool,
    /// The peer whose snapshot is needed, if not any.
    wants_from: Option<MemberId>,
    loss: SyncLossReason,
    fetches: u32,
    /// The first time at which another fetch may start.
    pause_until: MonoTime,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Waits until all known peers have sent a heartbeat; they then send their publications.
    Contacting { until: MonoTime },
    /// Fetches snapshots.
    Fetching,
    /// Holds everything.
    Done,
}

impl Sync {
    /// Returns the state of a member that joins.
    pub(super) fn new(until: MonoTime) -> Self {
        Self {
            stage: Stage::Contacting { until },
            fetch: None,
            wants_snapshot: true,
            wants_from: None,
            loss: SyncLossReason::Joined,
            fetches: 0,
            pause_until: MonoTime::default(),
        }
    }

    /// Tells whether this member holds every publication that it knows of.
    pub(super) fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Tells whether known peers have not sent a heartbeat yet.
    pub(super) fn is_contacting(&self) -> bool {
        matches!(self.stage, Stage::Contacting { .. })
    }

    /// Returns the reason of the last loss of synchronisation.
    pub(super) fn loss(&self) -> SyncLossReason {
        self.loss
    }

    /// Starts over as a joining member does.
    pub(super) fn restart(&mut self, until: MonoTime, loss: SyncLossReason) {
        *self = Self {
            loss,
            fetches: self.fetches,
            pause_until: self.pause_until,
            ..Self::new(until)
        };
    }

    /// Marks a snapshot of `peer` as needed.
    pub(super) fn want_from(&mut self, peer: MemberId, loss: SyncLossReason) {
        self.stage = Stage::Fetching;
        self.wants_snapshot = true;
        self.wants_from = Some(peer);
        self.loss = loss;
    }

    /// Advances; tells what changed.
    pub(super) fn poll(
        &mut self,
        now: MonoTime,
        this: (MemberId, &ZoneName),
        peers: &Peers,
        outbox: &mut Outbox<'_>,
    ) -> Option<Change> {
        match self.stage {
            Stage::Contacting { until } => {
                let known = peers.iter().count();
                let contacted = known > 0 && peers.iter().all(|p| p.contacted);
                if !contacted && now < until {
                    return None;
                }
                self.stage = Stage::Fetching;
                self.poll(now, this, peers, outbox)
            }
            Stage::Fetching => self.catch_up(now, this, peers, outbox),
            Stage::Done => {
                let since = peers.behind_since()?;
                if now.since(since) < GAP_TIMEOUT {
                    return None;
                }
                outbox.counters.gaps += 1;
                self.stage = Stage::Fetching;
                self.loss = SyncLossReason::Gap;
                self.catch_up(now, this, peers, outbox);
                Some(Change::Lost(SyncLossReason::Gap))
            }
        }
    }

    /// Takes over a part; returns the fetch when it is complete, and whether its pins are new.
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
        self.wants_snapshot = false;
        self.wants_from = None;
        self.pause_until = now + FETCH_SPACING;
        outbox.counters.snapshots_received += 1;
        (new, self.fetch.take())
    }

    /// Returns the next time at which [`Self::poll`] has something to do.
    pub(super) fn next_deadline(&self, peers: &Peers) -> Option<MonoTime> {
        match self.stage {
            Stage::Contacting { until } => Some(until),
            Stage::Fetching => {
                let due = self.fetch.as_ref().map(SnapshotFetch::due);
                due.or(Some(self.pause_until))
            }
            Stage::Done => peers.behind_since().map(|t| t + GAP_TIMEOUT),
        }
    }

    fn catch_up(
        &mut self,
        now: MonoTime,
        this: (MemberId, &ZoneName),
        peers: &Peers,
        outbox: &mut Outbox<'_>,
    ) -> Option<Change> {
        if self.wants_snapshot && is_first(this.0, peers) {
            self.wants_snapshot = false;
            self.wants_from = None;
        }
        if !self.wants_snapshot && peers.behind_since().is_none() {
            self.stage = Stage::Done;
            self.fetch = None;
            return Some(Change::Gained);
        }
        let asked = self.fetch.as_ref().map(|f| f.peer);
        let alive = asked.and_then(|p| peers.get(p)).is_some_and(|p| p.alive);
        let idle = self.fetch.is_none();
        if idle && now < self.pause_until {
            return None;
        }
        if !alive || self.fetch.as_ref().is_some_and(SnapshotFetch::has_failed) {
            self.fetch = self.choose(this.1, peers, asked).map(|peer| {
                self.fetches += 1;
                SnapshotFetch::new(now, peer, self.fetches)
            });
        }
        match &mut self.fetch {
            Some(fetch) => fetch.poll(now, outbox),
            // Nobody can be asked yet.
            None => self.pause_until = now + FETCH_SPACING,
        }
        None
    }

    /// Returns the peer to ask: the one that is named or whose publications are missing, else a
    /// synchronised one, in this availability zone if possible. `not` did not answer before.
    fn choose(&self, zone: &ZoneName, peers: &Peers, not: Option<MemberId>) -> Option<MemberId> {
        let named = self.wants_from.and_then(|id| peers.get(id));
        let named = named.filter(|p| p.alive && Some(p.id) != not);
        if let Some(p) = named {
            return Some(p.id);
        }
        let rank = |p: &&Peer| {
            let missing = !self.wants_snapshot && p.behind_since().is_some();
            let retry = Some(p.id) == not;
            (retry, !missing, !p.synchronised, p.zone != *zone, p.id)
        };
        // A starting peer may still guess its base sets.
        let holds =
            |p: &&Peer| !self.wants_snapshot || p.synchronised || p.state != MemberState::Starting;
        peers.live().filter(holds).min_by_key(rank).map(|p| p.id)
    }
}

/// Tells whether no peer can hold anything that this member lacks: either no peer is alive, or all
/// members are starting and this one has the lowest id.
fn is_first(this: MemberId, peers: &Peers) -> bool {
    let fresh = |p: &Peer| !p.synchronised && p.state == MemberState::Starting;
    peers.live().all(|p| fresh(p) && this < p.id)
}

/// Is a change of the synchronisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Change {
    /// The member now holds everything.
    Gained,
    /// The member may lack publications.
    Lost(SyncLossReason),
}
