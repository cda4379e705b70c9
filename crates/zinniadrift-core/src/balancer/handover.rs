use std::time::Duration;

use super::PeerMessage;
use crate::flow::Pin;
use crate::ids::MemberId;
use crate::placement::TokenBucket;
use crate::units::MonoTime;

/// The most unacknowledged messages, so that they do not overflow a receiver's socket buffer.
const WINDOW: usize = 8;
/// The time after which an unacknowledged message is sent again.
const RETRY: Duration = Duration::from_millis(50);
/// The shortest time between two steps.
const STEP: Duration = Duration::from_millis(1);

/// The transfer of a leaving member's known flows to its peers.
///
/// A flow whose packets all came through this member is unknown to the peers; without the handover
/// a later rebase would move the flow to another target.
#[derive(Clone, Debug)]
pub(super) struct Handover {
    last: u64,
    outstanding: Vec<Pass>,
    bytes: TokenBucket,
    due: MonoTime,
    complete: bool,
}

#[derive(Clone, Debug)]
struct Pass {
    number: u64,
    to: MemberId,
    pins: Vec<Pin>,
    due: MonoTime,
}

impl Handover {
    /// Returns a handover that sends at most `bytes_per_s`.
    pub(super) fn new(bytes_per_s: f64) -> Self {
        Self {
            last: 0,
            outstanding: Vec::new(),
            bytes: TokenBucket::new(bytes_per_s, 1.0),
            due: MonoTime::default(),
            complete: false,
        }
    }

    /// Resumes a complete handover after a packet, which may have added a flow.
    pub(super) fn reopen(&mut self, now: MonoTime) {
        if self.complete {
            self.complete = false;
            self.due = now + RETRY;
        }
    }

    /// Returns the time of the next step, or `None` once the handover is complete.
    pub(super) fn due(&self) -> Option<MonoTime> {
        (!self.complete).then_some(self.due)
    }

    /// Returns whether the window and the rate limit allow another message now.
    pub(super) fn may_send(&mut self, now: MonoTime) -> bool {
        self.outstanding.len() < WINDOW && self.bytes.ready_at(now) <= now
    }

    /// Records flows as sent to a peer, and returns the message.
    pub(super) fn send(&mut self, now: MonoTime, to: MemberId, pins: Vec<Pin>) -> PeerMessage {
        self.last += 1;
        let pass = Pass {
            number: self.last,
            to,
            pins,
            due: now + RETRY,
        };
        let msg = pass.message();
        self.bytes.charge(now, msg.encoded_len() as f64);
        self.outstanding.push(pass);
        msg
    }

    /// Records the acknowledgement of a message.
    pub(super) fn acknowledge(&mut self, now: MonoTime, from: MemberId, number: u64) {
        self.outstanding
            .retain(|p| (p.to, p.number) != (from, number));
        self.due = now;
    }

    /// Returns the messages that are due again; those whose receiver does not serve go to `other`.
    pub(super) fn repeat(
        &mut self,
        now: MonoTime,
        other: MemberId,
        serves: impl Fn(MemberId) -> bool,
    ) -> Vec<(MemberId, PeerMessage)> {
        let mut messages = Vec::new();
        for pass in self.outstanding.iter_mut().filter(|p| p.due <= now) {
            pass.due = now + RETRY;
            if !serves(pass.to) {
                pass.to = other;
            }
            messages.push((pass.to, pass.message()));
        }
        messages
    }

    /// Ends the handover without acknowledgements, because no peer is alive.
    pub(super) fn give_up(&mut self) {
        self.outstanding.clear();
        self.complete = true;
    }

    /// Schedules the next step; `finished` means that all flows were sent.
    pub(super) fn schedule(&mut self, now: MonoTime, finished: bool) {
        self.complete = finished && self.outstanding.is_empty();
        let repeats = self.outstanding.iter().map(|p| p.due).min();
        let room = self.outstanding.len() < WINDOW && !finished;
        let ready = room.then(|| self.bytes.ready_at(now).max(now + STEP));
        let next = [repeats, ready].into_iter().flatten().min();
        self.due = next.unwrap_or(now + RETRY).max(now + STEP);
    }
}

impl Pass {
    fn message(&self) -> PeerMessage {
        PeerMessage::Handover {
            number: self.number,
            pins: self.pins.clone(),
        }
    }
}
