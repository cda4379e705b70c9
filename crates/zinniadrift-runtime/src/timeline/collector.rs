use std::collections::BTreeSet;

use parking_lot::Mutex;

use super::{Event, Filter};

/// Events that a collector keeps by default; about 100 MB at 400 bytes each.
pub const DEFAULT_CAPACITY: usize = 250_000;

/// Merges the events of all processes in causal order and forgets the oldest when full.
#[derive(Debug)]
pub struct Collector {
    capacity: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    events: BTreeSet<Event>,
    forgotten: u64,
    dropped_by_senders: u64,
}

impl Collector {
    /// Returns a collector that keeps `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            inner: Mutex::default(),
        }
    }

    /// Adds events; an event that was reported twice is kept once.
    pub fn add(&self, events: impl IntoIterator<Item = Event>, dropped: u64) {
        let mut inner = self.inner.lock();
        inner.dropped_by_senders += dropped;
        for event in events {
            inner.events.insert(event);
            if inner.events.len() > self.capacity {
                inner.events.pop_first();
                inner.forgotten += 1;
            }
        }
    }

    /// Returns the selected events in causal order.
    pub fn select(&self, filter: &Filter) -> Vec<Event> {
        let inner = self.inner.lock();
        let selected = inner.events.iter().filter(|e| filter.matches(e));
        selected.cloned().collect()
    }

    /// Returns the events that are missing: forgotten here or dropped by senders.
    pub fn missing(&self) -> u64 {
        let inner = self.inner.lock();
        inner.forgotten + inner.dropped_by_senders
    }
}
