use std::time::Duration;

use super::{BaseSet, MAX_PINS, Outbox, PeerMessage};
use crate::flow::Pin;
use crate::ids::MemberId;
use crate::membership::PublicationMark;
use crate::units::MonoTime;

/// Parts sent per request, so that a snapshot does not overflow the receiver's socket buffer.
pub(super) const WINDOW_PARTS: u32 = 16;
/// Base sets per part; a set of up to 60 targets fits a datagram.
const BASES_PER_PART: usize = 1;
/// The time after the last request for which a snapshot is kept.
const RETENTION: Duration = Duration::from_secs(10);

/// A snapshot that a peer fetches.
#[derive(Clone, Debug)]
pub(super) struct SnapshotSource {
    peer: MemberId,
    id: u32,
    parts: Vec<PeerMessage>,
    last_used: MonoTime,
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
        let base_parts = bases.chunks(BASES_PER_PART).map(|b| (b, &[][..]));
        let pin_parts = pins.chunks(MAX_PINS).map(|p| (&[][..], p));
        let contents: Vec<_> = std::iter::once((&[][..], &[][..]))
            .chain(base_parts)
            .chain(pin_parts)
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
            last_used: now,
        }
    }

    /// Returns whether the snapshot was made for this request.
    pub(super) fn is_for_request(&self, peer: MemberId, id: u32) -> bool {
        self.peer == peer && self.id == id
    }

    /// Returns whether the snapshot was made for this peer.
    pub(super) fn is_for_peer(&self, peer: MemberId) -> bool {
        self.peer == peer
    }

    /// Returns whether the last request is longer ago than the retention time.
    pub(super) fn is_expired(&self, now: MonoTime) -> bool {
        now.since(self.last_used) >= RETENTION
    }

    /// Sends a window of parts that starts at `index`.
    pub(super) fn send_window(&mut self, now: MonoTime, index: u32, outbox: &mut Outbox<'_>) {
        self.last_used = now;
        let parts = self.parts.iter().skip(index as usize);
        for part in parts.take(WINDOW_PARTS as usize) {
            outbox.send(self.peer, part.clone());
        }
    }
}
