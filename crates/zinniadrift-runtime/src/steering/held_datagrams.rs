use std::collections::VecDeque;
use std::time::Duration;

use zinniadrift_core::units::MonoTime;

/// A buffer for packets that arrive before the balancer knows routes and targets.
///
/// After an outage of all balancers, the callers' next retransmission may come only 1.6 s later.
/// Holding the first packets for the milliseconds that the first list takes avoids that delay.
#[derive(Debug, Default)]
pub(super) struct HeldDatagrams {
    queue: VecDeque<(MonoTime, Box<[u8]>)>,
    dropped: u64,
}

/// The maximum number of held packets; of the largest size they take 0.6 MB.
const CAPACITY: usize = 512;
/// The maximum age of a held packet. The first retransmission interval of callers is 200 ms, so an
/// older packet has probably been retransmitted.
const MAX_AGE: Duration = Duration::from_millis(200);

impl HeldDatagrams {
    /// Appends a packet; if the buffer is full, the oldest packet is dropped.
    pub(super) fn push(&mut self, now: MonoTime, datagram: &[u8]) {
        if self.queue.len() >= CAPACITY {
            self.queue.pop_front();
            self.dropped += 1;
        }
        self.queue.push_back((now, datagram.into()));
    }

    /// Removes and returns the oldest packet that has not expired; expired packets are dropped.
    pub(super) fn pop(&mut self, now: MonoTime) -> Option<Box<[u8]>> {
        while let Some((at, datagram)) = self.queue.pop_front() {
            if now.since(at) <= MAX_AGE {
                return Some(datagram);
            }
            self.dropped += 1;
        }
        None
    }

    /// Returns the number of dropped packets.
    pub(super) const fn dropped(&self) -> u64 {
        self.dropped
    }
}
