use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A priority queue of events by virtual time in microseconds.
///
/// Events of equal time are returned in the order in which they were pushed.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    pushed: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn push(&mut self, time: u64, event: E) {
        self.pushed += 1;
        self.heap.push(Entry {
            time,
            seq: self.pushed,
            event,
        });
    }

    pub(crate) fn next_time(&self) -> Option<u64> {
        self.heap.peek().map(|e| e.time)
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|e| (e.time, e.event))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            pushed: 0,
        }
    }
}

#[derive(Debug)]
struct Entry<E> {
    time: u64,
    /// The sequence number of the push, which orders events of equal time.
    seq: u64,
    event: E,
}

impl<E> Ord for Entry<E> {
    /// Compares in reverse, because `BinaryHeap` returns the largest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.time, other.seq).cmp(&(self.time, self.seq))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}
