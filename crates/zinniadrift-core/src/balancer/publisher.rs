use std::collections::VecDeque;
use std::time::Duration;

use super::{MAX_PINS, Outbox, PeerMessage, Publication};
use crate::flow::Pin;
use crate::ids::MemberId;
use crate::membership::{Peer, Peers};
use crate::units::MonoTime;

/// The time for which exceptions are collected into one datagram.
const BATCH_DELAY: Duration = Duration::from_millis(1);
/// The most publications kept for retransmission; a member that lacks older ones needs a snapshot.
const MAX_OUTSTANDING: usize = 512;

/// The sender of publications, which retransmits them until the peers acknowledge them.
#[derive(Clone, Debug, Default)]
pub(super) struct Publisher {
    last_number: u64,
    batch: Vec<Pin>,
    batch_due: Option<MonoTime>,
    outstanding: VecDeque<Publication>,
    releases: Vec<Release>,
}

/// A publication whose held packets are released.
#[derive(Clone, Debug)]
pub(super) struct Release {
    pub(super) pins: Vec<Pin>,
    /// Whether all live members acknowledged the publication.
    pub(super) confirmed: bool,
}

impl Publisher {
    /// Returns the number of the last publication.
    pub(super) fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Adds an exception to the current batch.
    pub(super) fn add(&mut self, now: MonoTime, pin: Pin) {
        self.batch.push(pin);
        let due = if self.batch.len() >= MAX_PINS {
            now
        } else {
            now + BATCH_DELAY
        };
        self.batch_due = Some(self.batch_due.map_or(due, |d| d.min(due)));
    }

    /// Publishes flows at once and returns the number of the publication.
    ///
    /// With `blocking`, held packets wait for the acknowledgements.
    pub(super) fn publish(
        &mut self,
        now: MonoTime,
        mut pins: Vec<Pin>,
        blocking: bool,
        peers: &Peers,
        outbox: &mut Outbox<'_>,
    ) -> u64 {
        pins.sort_unstable();
        self.last_number += 1;
        outbox.counters.publications += 1;
        let unacknowledged: Vec<MemberId> = peers.live().map(|p| p.id).collect();
        let publication = Publication::new(now, self.last_number, pins, blocking, unacknowledged);
        transmit(&publication, peers, outbox);
        self.outstanding.push_back(publication);
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.drop_oldest(outbox);
        }
        self.last_number
    }

    /// Records the acknowledgement of a publication by a peer.
    pub(super) fn acknowledge(&mut self, from: MemberId, number: u64) {
        let found = self.outstanding.iter_mut().find(|p| p.number == number);
        if let Some(publication) = found {
            publication.unacknowledged.retain(|m| *m != from);
        }
    }

    /// Returns whether every publication up to `number` is acknowledged or given up.
    pub(super) fn is_complete_to(&self, number: u64) -> bool {
        let first = self.outstanding.iter().map(|p| p.number).min();
        first.is_none_or(|first| first > number)
    }

    /// Sends the due batch and retransmissions, and collects the releases.
    pub(super) fn poll(
        &mut self,
        now: MonoTime,
        blocking: bool,
        peers: &mut Peers,
        outbox: &mut Outbox<'_>,
    ) {
        if self.batch_due.is_some_and(|due| due <= now) {
            self.flush(now, blocking, peers, outbox);
        }
        for publication in &mut self.outstanding {
            publication.unacknowledged.retain(|m| is_alive(peers, *m));
            if publication.due <= now {
                retransmit(publication, peers, outbox);
            }
            let unblocked = !publication
                .unacknowledged
                .iter()
                .any(|m| is_responsive(peers, *m));
            if publication.blocking && unblocked {
                publication.blocking = false;
                self.releases.push(Release {
                    pins: publication.pins.clone(),
                    confirmed: publication.unacknowledged.is_empty(),
                });
            }
        }
        self.outstanding
            .retain(|p| !p.unacknowledged.is_empty() && !p.is_exhausted());
    }

    /// Removes and returns the collected releases.
    pub(super) fn take_releases(&mut self) -> Vec<Release> {
        std::mem::take(&mut self.releases)
    }

    /// Discards the batch and all unacknowledged publications; their numbers are not reused.
    pub(super) fn discard_outstanding(&mut self) {
        self.batch.clear();
        self.batch_due = None;
        self.outstanding.clear();
        self.releases.clear();
    }

    /// Returns the next time at which [`Self::poll`] has something to do.
    pub(super) fn next_deadline(&self) -> Option<MonoTime> {
        let retransmissions = self.outstanding.iter().map(|p| p.due);
        retransmissions.chain(self.batch_due).min()
    }

    fn flush(&mut self, now: MonoTime, blocking: bool, peers: &Peers, outbox: &mut Outbox<'_>) {
        let batch = std::mem::take(&mut self.batch);
        self.batch_due = None;
        for pins in batch.chunks(MAX_PINS) {
            self.publish(now, pins.to_vec(), blocking, peers, outbox);
        }
    }

    fn drop_oldest(&mut self, outbox: &mut Outbox<'_>) {
        let Some(oldest) = self.outstanding.pop_front() else {
            return;
        };
        outbox.counters.publish_timeouts += oldest.unacknowledged.len() as u64;
        if oldest.blocking {
            self.releases.push(Release {
                pins: oldest.pins,
                confirmed: false,
            });
        }
    }
}

fn retransmit(publication: &mut Publication, peers: &mut Peers, outbox: &mut Outbox<'_>) {
    if publication.is_ack_overdue() && publication.blocking {
        for id in &publication.unacknowledged {
            outbox.counters.publish_timeouts += 1;
            if let Some(peer) = peers.get_mut(*id) {
                peer.unresponsive = true;
            }
        }
    }
    outbox.counters.retransmissions += publication.unacknowledged.len() as u64;
    transmit(publication, peers, outbox);
    publication.reschedule();
}

fn transmit(publication: &Publication, peers: &Peers, outbox: &mut Outbox<'_>) {
    for id in &publication.unacknowledged {
        if peers.get(*id).is_some() {
            let msg = PeerMessage::Publish {
                number: publication.number,
                pins: publication.pins.clone(),
            };
            outbox.send(*id, msg);
        }
    }
}

fn is_alive(peers: &Peers, id: MemberId) -> bool {
    peers.get(id).is_some_and(|p| p.alive)
}

fn is_responsive(peers: &Peers, id: MemberId) -> bool {
    peers.get(id).is_some_and(|p: &Peer| !p.unresponsive)
}
