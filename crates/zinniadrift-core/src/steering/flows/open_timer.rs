use std::collections::VecDeque;
use std::time::Duration;

use crate::flow::FlowKey;
use crate::units::MonoTime;

/// Learns how long targets take to answer an opening packet, and tells which answers are overdue.
///
/// Answers the loss of many targets whose hosts refuse connections: the refusal goes straight to the
/// caller, which opens another flow at once instead of retransmitting the packet.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenTimer {
    /// The moving average of the time from an opening packet to the caller's next packet, and of its
    /// deviation; `None` before the first.
    open_time: Option<(Duration, Duration)>,
    pending: VecDeque<(MonoTime, FlowKey)>,
}

/// The limits of the time after which an answer is overdue: timers of a busy host fire some
/// milliseconds late, and callers retransmit the packet after 200 ms.
const MIN_TIMEOUT: Duration = Duration::from_millis(20);
const MAX_TIMEOUT: Duration = Duration::from_millis(150);
/// The weights of a new sample in the averages and of the deviation in the time-out, as in the
/// retransmission timer of TCP (RFC 6298).
const MEAN_DIVISOR: u32 = 8;
const DEVIATION_DIVISOR: u32 = 4;
const DEVIATION_FACTOR: u32 = 4;
/// The maximum number of pending packets; the oldest are forgotten first.
const CAPACITY: usize = 1_024;

impl OpenTimer {
    /// Records an opening packet that is forwarded at `now`.
    pub(crate) fn push(&mut self, now: MonoTime, flow: FlowKey) {
        if self.pending.len() >= CAPACITY {
            self.pending.pop_front();
        }
        self.pending.push_back((now, flow));
    }

    /// Records the time from an opening packet to the caller's next packet.
    pub(crate) fn record(&mut self, took: Duration) {
        let Some((mean, deviation)) = &mut self.open_time else {
            self.open_time = Some((took, took / 2));
            return;
        };
        let error = took.abs_diff(*mean);
        *deviation = *deviation - *deviation / DEVIATION_DIVISOR + error / DEVIATION_DIVISOR;
        *mean = *mean - *mean / MEAN_DIVISOR + took / MEAN_DIVISOR;
    }

    /// Returns the time after which an answer is overdue, 20 to 150 ms.
    pub(crate) fn timeout(&self) -> Duration {
        self.open_time.map_or(MAX_TIMEOUT, |(mean, deviation)| {
            (mean + deviation * DEVIATION_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
        })
    }

    /// Takes the oldest opening packet whose time-out has passed, with the time at which it was sent.
    pub(crate) fn pop_overdue(&mut self, now: MonoTime) -> Option<(MonoTime, FlowKey)> {
        let (sent, _) = self.pending.front()?;
        if now.since(*sent) <= self.timeout() {
            return None;
        }
        self.pending.pop_front()
    }

    /// Forgets the pending packets, because the process was paused.
    pub(crate) fn clear_pending(&mut self) {
        self.pending.clear();
    }
}
