use std::time::Duration;

use super::{BaseSet, MAX_PINS, Outbox, PeerMessage};
use crate::flow::Pin;
use crate::ids::MemberId;
use crate::membership::PublicationMark;
use crate::units::MonoTime;

/// Parts sent per request, so that a snapshot does not overflow the receiver's socket buffer.
pub(super) const WINDOW: u32 = 16;
/// Base sets per part; a set of up to 60 targets fits a datagram.
const BASES_PER_PART: usize = 1;
/// The time after the last request for which a snapshot is kept.
const KEEP: Duration = Duration::from_secs(10);

/// A snapshot that a peer fetches.
#[derive(Clone, Debug)]
pub(super) struct SnapshotSource {
    peer: MemberId,
    id: u32,
    parts: Vec<PeerMessage>,
    used: MonoTime,
}

impl SnapshotSource {
    /// Divides the given state into parts.
    pub(super) fn new(
        now: MonoTime,
        (peer, id): (MemberId, u32),
        publication: u64,
        marks: &[PublicationMark],
        bases: &[BaseSet],
        pins: &[Pin],
    ) -> Self {
        let heads = bases.chunks(BASES_PER_PART).map(|b| (b, &[][..]));
        let bodies = pins.chunks(MAX_PINS).map(|p| (&[][..], p));
        let contents: Vec<_> = std::iter::once((&[][..], &[][..]))
            .chain(heads)
            .chain(bodies)
            .collect();
        let total = contents.len() as u32;
        let parts =
            contents
                .into_iter()
                .enumerate()
                .map(|(i, (bases, pins))| PeerMessage::SnapshotPart {
                    id,
                    index: i as u32,
                    total,
                    publication,
                    marks: if i == 0 { marks.to_vec() } else { Vec::new() },
                    pins: pins.to_vec(),
                    bases: bases.to_vec(),
                });
        Self {
            peer,
            id,
            parts: parts.collect(),
            used: now,
        }
    }

    /// Returns whether the snapshot was made for this request.
    pub(super) fn answers(&self, peer: MemberId, id: u32) -> bool {
        self.peer == peer && self.id == id
    }

    /// Returns whether the snapshot was made for this peer.
    pub(super) fn is_for(&self, peer: MemberId) -> bool {
        self.peer == peer
    }

    /// Returns whether the last request is longer ago than the retention time.
    pub(super) fn is_outdated(&self, now: MonoTime) -> bool {
        now.since(self.used) >= KEEP
    }

    /// Sends a window of parts that starts at `index`.
    pub(super) fn serve(&mut self, now: MonoTime, index: u32, outbox: &mut Outbox<'_>) {
        self.used = now;
        let parts = self.parts.iter().skip(index as usize);
        for part in parts.take(WINDOW as usize) {
            outbox.send(self.peer, part.clone());
        }
    }
}
