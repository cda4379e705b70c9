use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use zinniadrift_core::units::MonoTime;

/// A queue of events ordered by time; events with equal times keep their insertion order.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    entries: BinaryHeap<Reverse<Entry<E>>>,
    last_id: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: MonoTime,
    id: u64,
    event: E,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            last_id: 0,
        }
    }
}

impl<E> EventQueue<E> {
    pub(super) fn add(&mut self, at: MonoTime, event: E) {
        self.last_id += 1;
        let id = self.last_id;
        self.entries.push(Reverse(Entry { at, id, event }));
    }

    /// Removes and returns the next event.
    pub(super) fn pop(&mut self) -> Option<(MonoTime, E)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.event))
    }
}

impl<E> Entry<E> {
    fn key(&self) -> (MonoTime, u64) {
        (self.at, self.id)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}
