use std::collections::BTreeSet;

use parking_lot::Mutex;

use super::{Event, Filter};

/// The default capacity of a collector in events; about 100 MB at 400 bytes per event.
pub const DEFAULT_CAPACITY: usize = 250_000;

/// The merged events of all processes in causal order; evicts the oldest when full.
#[derive(Debug)]
pub struct Collector {
    capacity: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    events: BTreeSet<Event>,
    evicted: u64,
    dropped_by_senders: u64,
}

impl Collector {
    /// Returns an empty collector that keeps at most `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            inner: Mutex::default(),
        }
    }

    /// Adds the events of a report, and the number of events that its sender dropped.
    ///
    /// An event that is reported twice is kept once.
    pub fn add(&self, events: impl IntoIterator<Item = Event>, dropped: u64) {
        let mut inner = self.inner.lock();
        inner.dropped_by_senders += dropped;
        for event in events {
            inner.events.insert(event);
            if inner.events.len() > self.capacity {
                inner.events.pop_first();
                inner.evicted += 1;
            }
        }
    }

    /// Returns the events that match the filter, in causal order.
    pub fn select(&self, filter: &Filter) -> Vec<Event> {
        let inner = self.inner.lock();
        let selected = inner.events.iter().filter(|e| filter.matches(e));
        selected.cloned().collect()
    }

    /// Returns the number of missing events: evicted here or dropped by senders.
    pub fn missing(&self) -> u64 {
        let inner = self.inner.lock();
        inner.evicted + inner.dropped_by_senders
    }
}
