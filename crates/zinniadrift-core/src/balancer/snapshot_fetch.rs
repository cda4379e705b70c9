use std::time::Duration;

use super::snapshot_source::WINDOW_PARTS;
use super::{BaseSet, Outbox, PeerMessage};
use crate::ids::MemberId;
use crate::membership::PublicationMark;
use crate::units::MonoTime;

/// The time after which missing parts are requested again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Requests without a new part after which the fetch fails and another peer is chosen.
const MAX_RETRIES: u32 = 6;
/// The most parts of a snapshot; at 36 pins each, 2.3 million pins.
const MAX_PARTS: u32 = 65_536;

/// The fetch of a snapshot from a peer, part by part.
#[derive(Clone, Debug)]
pub(super) struct SnapshotFetch {
    pub(super) peer: MemberId,
    pub(super) publication: u64,
    pub(super) marks: Vec<PublicationMark>,
    pub(super) bases: Vec<BaseSet>,
    id: u32,
    received: Vec<bool>,
    missing: usize,
    due: MonoTime,
    retries: u32,
}

impl SnapshotFetch {
    /// Returns a fetch whose first request is due at once.
    pub(super) fn new(now: MonoTime, peer: MemberId, id: u32) -> Self {
        Self {
            peer,
            publication: 0,
            marks: Vec::new(),
            bases: Vec::new(),
            id,
            received: Vec::new(),
            missing: usize::MAX,
            due: now,
            retries: 0,
        }
    }

    /// Returns the next time at which a request is due.
    pub(super) fn due(&self) -> MonoTime {
        self.due
    }

    /// Returns whether the peer does not answer.
    pub(super) fn has_failed(&self) -> bool {
        self.retries > MAX_RETRIES
    }

    /// Returns whether all parts have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Requests a window from the first missing part if a request is due.
    pub(super) fn poll(&mut self, now: MonoTime, outbox: &mut Outbox<'_>) {
        if self.due > now {
            return;
        }
        self.retries += 1;
        self.request(now, outbox);
    }

    /// Moves a part's fields except its pins into the fetch; returns whether the part is new.
    pub(super) fn accept(
        &mut self,
        now: MonoTime,
        part: &mut PeerMessage,
        outbox: &mut Outbox<'_>,
    ) -> bool {
        let PeerMessage::SnapshotPart {
            id,
            index,
            total,
            publication,
            marks,
            bases,
            ..
        } = part
        else {
            return false;
        };
        if *id != self.id || *total == 0 || *total > MAX_PARTS || *index >= *total {
            return false;
        }
        if self.received.is_empty() {
            self.received = vec![false; *total as usize];
            self.missing = self.received.len();
        }
        let at = *index as usize;
        if self.received.get(at).copied().unwrap_or(true) {
            return false;
        }
        self.received[at] = true;
        self.missing -= 1;
        self.retries = 0;
        self.due = now + RETRY_INTERVAL;
        self.publication = *publication;
        self.marks.append(marks);
        self.bases.append(bases);
        // The last part of a window triggers the request for the next one.
        if *index % WINDOW_PARTS == WINDOW_PARTS - 1 && self.missing > 0 {
            self.request(now, outbox);
        }
        true
    }

    fn request(&mut self, now: MonoTime, outbox: &mut Outbox<'_>) {
        self.due = now + RETRY_INTERVAL;
        let index = self
            .received
            .iter()
            .position(|received| !received)
            .unwrap_or(0) as u32;
        let msg = PeerMessage::SnapshotRequest { id: self.id, index };
        outbox.send(self.peer, msg);
    }
}
