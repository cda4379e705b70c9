use std::collections::VecDeque;
use std::time::Duration;

use super::{MAX_PINS, Outbox, PeerMessage, Publication};
use crate::flow::Pin;
use crate::ids::MemberId;
use crate::membership::{Peer, Peers};
use crate::units::MonoTime;

/// The time for which exceptions are collected into one datagram.
const BATCH: Duration = Duration::from_millis(1);
/// The most publications kept for retransmission; a member that lacks older ones needs a snapshot.
const MAX_OUTSTANDING: usize = 512;

/// The sender of publications, which retransmits them until the peers acknowledge them.
#[derive(Clone, Debug, Default)]
pub(super) struct Publisher {
    last: u64,
    batch: Vec<Pin>,
    batch_due: Option<MonoTime>,
    outstanding: VecDeque<Publication>,
    released: Vec<Release>,
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
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Adds an exception to the current batch.
    pub(super) fn add(&mut self, now: MonoTime, pin: Pin) {
        self.batch.push(pin);
        let due = if self.batch.len() >= MAX_PINS {
            now
        } else {
            now + BATCH
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
        self.last += 1;
        outbox.counters.publications += 1;
        let waiting: Vec<MemberId> = peers.live().map(|p| p.id).collect();
        let publication = Publication::new(now, self.last, pins, blocking, waiting);
        transmit(&publication, peers, outbox);
        self.outstanding.push_back(publication);
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.give_up_oldest(outbox);
        }
        self.last
    }

    /// Records the acknowledgement of a publication by a peer.
    pub(super) fn acknowledge(&mut self, from: MemberId, number: u64) {
        let found = self.outstanding.iter_mut().find(|p| p.number == number);
        if let Some(publication) = found {
            publication.waiting.retain(|m| *m != from);
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
        wait: bool,
        peers: &mut Peers,
        o: &mut Outbox<'_>,
    ) {
        if self.batch_due.is_some_and(|due| due <= now) {
            self.flush(now, wait, peers, o);
        }
        for publication in &mut self.outstanding {
            publication.waiting.retain(|m| is_alive(peers, *m));
            if publication.due <= now {
                repeat(publication, peers, o);
            }
            let unblocked = !publication.waiting.iter().any(|m| is_responsive(peers, *m));
            if publication.blocking && unblocked {
                publication.blocking = false;
                self.released.push(Release {
                    pins: publication.pins.clone(),
                    confirmed: publication.waiting.is_empty(),
                });
            }
        }
        self.outstanding
            .retain(|p| !p.waiting.is_empty() && !p.is_spent());
    }

    /// Removes and returns the collected releases.
    pub(super) fn take_released(&mut self) -> Vec<Release> {
        std::mem::take(&mut self.released)
    }

    /// Discards the batch and all unacknowledged publications; their numbers are not reused.
    pub(super) fn abandon(&mut self) {
        self.batch.clear();
        self.batch_due = None;
        self.outstanding.clear();
        self.released.clear();
    }

    /// Returns the next time at which [`Self::poll`] has something to do.
    pub(super) fn next_deadline(&self) -> Option<MonoTime> {
        let repeats = self.outstanding.iter().map(|p| p.due);
        repeats.chain(self.batch_due).min()
    }

    fn flush(&mut self, now: MonoTime, wait: bool, peers: &Peers, outbox: &mut Outbox<'_>) {
        let batch = std::mem::take(&mut self.batch);
        self.batch_due = None;
        for pins in batch.chunks(MAX_PINS) {
            self.publish(now, pins.to_vec(), wait, peers, outbox);
        }
    }

    fn give_up_oldest(&mut self, outbox: &mut Outbox<'_>) {
        let Some(oldest) = self.outstanding.pop_front() else {
            return;
        };
        outbox.counters.publish_timeouts += oldest.waiting.len() as u64;
        if oldest.blocking {
            self.released.push(Release {
                pins: oldest.pins,
                confirmed: false,
            });
        }
    }
}

fn repeat(publication: &mut Publication, peers: &mut Peers, outbox: &mut Outbox<'_>) {
    if publication.is_late() && publication.blocking {
        for id in &publication.waiting {
            outbox.counters.publish_timeouts += 1;
            if let Some(peer) = peers.get_mut(*id) {
                peer.unresponsive = true;
            }
        }
    }
    outbox.counters.retransmissions += publication.waiting.len() as u64;
    transmit(publication, peers, outbox);
    publication.reschedule();
}

fn transmit(publication: &Publication, peers: &Peers, outbox: &mut Outbox<'_>) {
    for id in &publication.waiting {
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
