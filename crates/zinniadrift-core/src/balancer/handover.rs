use std::time::Duration;

use super::PeerMessage;
use crate::flow::Pin;
use crate::ids::MemberId;
use crate::placement::TokenBucket;
use crate::units::MonoTime;

/// The most unacknowledged messages, so that they do not overflow a receiver's socket buffer.
const WINDOW_MESSAGES: usize = 8;
/// The time after which an unacknowledged message is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest time between two steps.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(1);

/// The transfer of a leaving member's known flows to its peers.
///
/// A flow whose packets all came through this member is unknown to the peers; without the handover
/// a later rebase would move the flow to another target.
#[derive(Clone, Debug)]
pub(super) struct Handover {
    last_number: u64,
    outstanding: Vec<Transfer>,
    bytes: TokenBucket,
    due: MonoTime,
    complete: bool,
}

#[derive(Clone, Debug)]
struct Transfer {
    number: u64,
    to: MemberId,
    pins: Vec<Pin>,
    due: MonoTime,
}

impl Handover {
    /// Returns a handover that sends at most `bytes_per_s`.
    pub(super) fn new(bytes_per_s: f64) -> Self {
        Self {
            last_number: 0,
            outstanding: Vec::new(),
            bytes: TokenBucket::new(bytes_per_s, 1.0),
            due: MonoTime::default(),
            complete: false,
        }
    }

    /// Resumes a complete handover after a packet, which may have added a flow.
    pub(super) fn resume(&mut self, now: MonoTime) {
        if self.complete {
            self.complete = false;
            self.due = now + RETRY_INTERVAL;
        }
    }

    /// Returns the time of the next step, or `None` once the handover is complete.
    pub(super) fn due(&self) -> Option<MonoTime> {
        (!self.complete).then_some(self.due)
    }

    /// Returns whether the window and the rate limit allow another message now.
    pub(super) fn may_send(&mut self, now: MonoTime) -> bool {
        self.outstanding.len() < WINDOW_MESSAGES && self.bytes.ready_at(now) <= now
    }

    /// Records flows as sent to a peer, and returns the message.
    pub(super) fn send(&mut self, now: MonoTime, to: MemberId, pins: Vec<Pin>) -> PeerMessage {
        self.last_number += 1;
        let transfer = Transfer {
            number: self.last_number,
            to,
            pins,
            due: now + RETRY_INTERVAL,
        };
        let msg = transfer.message();
        self.bytes.charge(now, msg.encoded_len() as f64);
        self.outstanding.push(transfer);
        msg
    }

    /// Records the acknowledgement of a message.
    pub(super) fn acknowledge(&mut self, now: MonoTime, from: MemberId, number: u64) {
        self.outstanding
            .retain(|t| (t.to, t.number) != (from, number));
        self.due = now;
    }

    /// Returns the messages that are due again; `fallback` replaces receivers that do not serve.
    pub(super) fn retransmit(
        &mut self,
        now: MonoTime,
        fallback: MemberId,
        serves: impl Fn(MemberId) -> bool,
    ) -> Vec<(MemberId, PeerMessage)> {
        let mut messages = Vec::new();
        for transfer in self.outstanding.iter_mut().filter(|t| t.due <= now) {
            transfer.due = now + RETRY_INTERVAL;
            if !serves(transfer.to) {
                transfer.to = fallback;
            }
            messages.push((transfer.to, transfer.message()));
        }
        messages
    }

    /// Ends the handover without acknowledgements, because no peer is alive.
    pub(super) fn abort(&mut self) {
        self.outstanding.clear();
        self.complete = true;
    }

    /// Schedules the next step; `finished` means that all flows were sent.
    pub(super) fn schedule(&mut self, now: MonoTime, finished: bool) {
        self.complete = finished && self.outstanding.is_empty();
        let retransmission = self.outstanding.iter().map(|t| t.due).min();
        let room = self.outstanding.len() < WINDOW_MESSAGES && !finished;
        let ready = room.then(|| self.bytes.ready_at(now).max(now + MIN_STEP_INTERVAL));
        let next = [retransmission, ready].into_iter().flatten().min();
        self.due = next
            .unwrap_or(now + RETRY_INTERVAL)
            .max(now + MIN_STEP_INTERVAL);
    }
}

impl Transfer {
    fn message(&self) -> PeerMessage {
        PeerMessage::Handover {
            number: self.number,
            pins: self.pins.clone(),
        }
    }
}
