use std::collections::VecDeque;
use std::time::Duration;

use crate::flow::FlowKey;
use crate::units::MonoTime;

/// The forwarded opening packets that may still be answered in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnansweredOpens {
    sent: VecDeque<(MonoTime, FlowKey)>,
}

/// The time after which an opening packet counts as unanswered: half of the 200 ms after which the
/// caller retransmits it. Targets answer within the round trip of a few milliseconds.
const ANSWER_TIME: Duration = Duration::from_millis(100);

impl UnansweredOpens {
    /// Records an opening packet.
    pub(crate) fn push(&mut self, now: MonoTime, flow: FlowKey) {
        self.sent.push_back((now, flow));
    }

    /// Takes the next opening packet that should have been answered by now, with the time at which
    /// it was sent.
    pub(crate) fn pop_due(&mut self, now: MonoTime) -> Option<(MonoTime, FlowKey)> {
        self.next_due().filter(|due| *due <= now)?;
        self.sent.pop_front()
    }

    /// Returns when the next opening packet is due.
    pub(crate) fn next_due(&self) -> Option<MonoTime> {
        self.sent.front().map(|(at, _)| *at + ANSWER_TIME)
    }

    pub(crate) fn clear(&mut self) {
        self.sent.clear();
    }
}
