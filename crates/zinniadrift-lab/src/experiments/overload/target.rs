use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::units::MonoTime;

use super::Scenario;
use super::event::RequestId;

/// A target with its slots and queue.
#[derive(Debug, Default)]
pub(super) struct FakeTarget {
    /// The flows that are open here, with the last byte of requests that was received on each.
    pub(super) flows: HashMap<FlowKey, u32>,
    busy: u16,
    queue: VecDeque<(FlowKey, RequestId)>,
    /// The time until which the target processes nothing and responds to nothing.
    pub(super) dead_until: MonoTime,
    /// The factor by which it is slower.
    pub(super) slowness: f64,
}

/// What a target does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reception {
    Started,
    Queued,
    /// The target refuses the named request, the one that has waited longest.
    Shed(FlowKey, RequestId),
}

impl FakeTarget {
    pub(super) fn new() -> Self {
        Self {
            slowness: 1.0,
            ..Self::default()
        }
    }

    pub(super) fn is_dead(&self, now: MonoTime) -> bool {
        now < self.dead_until
    }

    pub(super) fn free_slots(&self) -> u16 {
        Scenario::SLOTS - self.busy
    }

    /// Returns the time that a request takes whose work is `work`.
    pub(super) fn service_time(&self, work: Duration) -> Duration {
        work.mul_f64(self.slowness)
    }

    pub(super) fn receive(&mut self, flow: FlowKey, request: RequestId) -> Reception {
        if self.busy < Scenario::SLOTS {
            self.busy += 1;
            return Reception::Started;
        }
        self.queue.push_back((flow, request));
        if self.queue.len() <= Scenario::QUEUE {
            return Reception::Queued;
        }
        let (flow, request) = self.queue.pop_front().unwrap_or((flow, request));
        Reception::Shed(flow, request)
    }

    /// Frees a slot and returns the request that takes it.
    pub(super) fn finish(&mut self) -> Option<(FlowKey, RequestId)> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy = self.busy.saturating_sub(1);
        }
        next
    }

    /// Forgets everything, as a crash does.
    pub(super) fn crash(&mut self, until: MonoTime) {
        *self = Self {
            dead_until: until,
            slowness: self.slowness,
            ..Self::default()
        };
    }
}
