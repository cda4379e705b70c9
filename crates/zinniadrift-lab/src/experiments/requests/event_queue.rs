use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use zinniadrift_core::units::MonoTime;

use super::event::Event;

/// A queue of events ordered by time; events with equal times keep their insertion order.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    order: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: HashMap<u64, Event>,
    last_id: u64,
}

impl EventQueue {
    pub(super) fn add(&mut self, at: MonoTime, event: Event) {
        self.last_id += 1;
        self.order.push(Reverse((at, self.last_id)));
        self.events.insert(self.last_id, event);
    }

    /// Removes and returns the next event if its time is not after `until`.
    pub(super) fn next(&mut self, until: MonoTime) -> Option<(MonoTime, Event)> {
        let Reverse((at, id)) = *self.order.peek()?;
        if at > until {
            return None;
        }
        self.order.pop();
        let event = self.events.remove(&id)?;
        Some((at, event))
    }
}
