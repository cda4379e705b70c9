use std::collections::VecDeque;
use std::time::Duration;

use zinniadrift_core::units::MonoTime;

/// Keeps the packets that arrive before the balancer knows routes and targets.
///
/// After an outage of all balancers the callers' next copies come up to 1.6 s later, so the first
/// packets after the start are worth keeping for the milliseconds that the first list takes.
#[derive(Debug, Default)]
pub(super) struct HeldDatagrams {
    queue: VecDeque<(MonoTime, Box<[u8]>)>,
    dropped: u64,
}

/// The number of kept packets: 0.6 MB of the largest ones.
const CAPACITY: usize = 512;
/// The age from which the sender has probably sent the packet again: its first interval is 200 ms.
const MAX_AGE: Duration = Duration::from_millis(200);

impl HeldDatagrams {
    /// Keeps a packet; the oldest one makes room.
    pub(super) fn push(&mut self, now: MonoTime, datagram: &[u8]) {
        if self.queue.len() >= CAPACITY {
            self.queue.pop_front();
            self.dropped += 1;
        }
        self.queue.push_back((now, datagram.into()));
    }

    /// Takes the next packet that is not too old.
    pub(super) fn pop(&mut self, now: MonoTime) -> Option<Box<[u8]>> {
        while let Some((at, datagram)) = self.queue.pop_front() {
            if now.since(at) <= MAX_AGE {
                return Some(datagram);
            }
            self.dropped += 1;
        }
        None
    }

    /// Returns the number of packets that were given up.
    pub(super) const fn dropped(&self) -> u64 {
        self.dropped
    }
}
