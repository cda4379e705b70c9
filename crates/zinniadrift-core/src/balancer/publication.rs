use std::time::Duration;

use crate::flow::Pin;
use crate::ids::MemberId;
use crate::units::MonoTime;

/// The times after the first transmission at which a publication is sent again. At the last one the
/// packets that wait for it are released; a longer delay would affect the caller's TCP.
const RETRANSMIT_TIMES: [Duration; 4] = [
    Duration::from_millis(3),
    Duration::from_millis(6),
    Duration::from_millis(12),
    Duration::from_millis(24),
];
/// The most transmissions, over about 3 s; a member that acknowledged none of them has to detect
/// the gap itself.
const MAX_ATTEMPTS: usize = 11;

/// A publication that not all receivers have acknowledged.
#[derive(Clone, Debug)]
pub(super) struct Publication {
    pub(super) number: u64,
    pub(super) pins: Vec<Pin>,
    /// Whether held packets wait for the acknowledgements.
    pub(super) blocking: bool,
    pub(super) unacknowledged: Vec<MemberId>,
    pub(super) due: MonoTime,
    first_sent: MonoTime,
    attempts: usize,
}

impl Publication {
    /// Returns a publication that is transmitted for the first time at `now`.
    pub(super) fn new(
        now: MonoTime,
        number: u64,
        pins: Vec<Pin>,
        blocking: bool,
        unacknowledged: Vec<MemberId>,
    ) -> Self {
        Self {
            number,
            pins,
            blocking,
            unacknowledged,
            due: now + RETRANSMIT_TIMES[0],
            first_sent: now,
            attempts: 1,
        }
    }

    /// Schedules the transmission after the one that is due now.
    pub(super) fn reschedule(&mut self) {
        let after = match RETRANSMIT_TIMES.get(self.attempts) {
            Some(after) => *after,
            None => RETRANSMIT_TIMES[3] * (1 << (self.attempts - 3).min(16)),
        };
        self.due = self.first_sent + after;
        self.attempts += 1;
    }

    /// Returns whether held packets are released despite missing acknowledgements.
    pub(super) fn is_ack_overdue(&self) -> bool {
        self.attempts >= RETRANSMIT_TIMES.len()
    }

    /// Returns whether all transmissions were used.
    pub(super) fn is_exhausted(&self) -> bool {
        self.attempts >= MAX_ATTEMPTS
    }
}
