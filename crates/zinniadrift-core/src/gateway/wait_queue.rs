use std::collections::VecDeque;
use std::time::Duration;

use super::RequestId;
use crate::units::MonoTime;

/// The queue of a service's requests that wait because every target is full.
///
/// The oldest request is served first. Once the queue has not been empty for [`OVERLOAD_AFTER`],
/// the newest request is served first and requests wait only briefly, so that the requests that are
/// served have waited little and the others are refused soon.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    waiting: VecDeque<(MonoTime, RequestId)>,
    nonempty_since: Option<MonoTime>,
}

/// The time without an empty queue after which the service counts as overloaded.
const OVERLOAD_AFTER: Duration = Duration::from_millis(200);
/// The longest wait without overload. It exceeds the time in which the queue drains after a burst
/// of usual size, so that only requests in lasting excess are shed.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// The longest wait in overload. It is long enough that a request is waiting whenever a slot
/// becomes free.
const MAX_WAIT_OVERLOADED: Duration = Duration::from_millis(100);

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn is_overloaded(&self, now: MonoTime) -> bool {
        self.nonempty_since
            .is_some_and(|t| now.since(t) > OVERLOAD_AFTER)
    }

    /// Inserts a request in the order of arrival times.
    pub(crate) fn push(&mut self, now: MonoTime, arrived: MonoTime, req: RequestId) {
        self.nonempty_since.get_or_insert(now);
        let index = self.waiting.partition_point(|w| *w <= (arrived, req));
        self.waiting.insert(index, (arrived, req));
    }

    /// Removes and returns the request to serve next.
    pub(crate) fn pop(&mut self, now: MonoTime) -> Option<RequestId> {
        let next = if self.is_overloaded(now) {
            self.waiting.pop_back()
        } else {
            self.waiting.pop_front()
        };
        self.reset_if_empty();
        next.map(|(_, req)| req)
    }

    /// Removes and returns the oldest request, to be shed.
    pub(crate) fn pop_oldest(&mut self) -> Option<RequestId> {
        let oldest = self.waiting.pop_front();
        self.reset_if_empty();
        oldest.map(|(_, req)| req)
    }

    pub(crate) fn remove(&mut self, req: RequestId) {
        self.waiting.retain(|(_, r)| *r != req);
        self.reset_if_empty();
    }

    /// Removes and returns a request that has waited too long.
    pub(crate) fn pop_expired(&mut self, now: MonoTime) -> Option<RequestId> {
        let (arrived, _) = *self.waiting.front()?;
        if now < arrived + self.max_wait(now) {
            return None;
        }
        self.pop_oldest()
    }

    /// Returns the time at which the oldest request will have waited too long.
    pub(crate) fn next_expiry(&self) -> Option<MonoTime> {
        let (arrived, _) = *self.waiting.front()?;
        let overload = self.nonempty_since? + OVERLOAD_AFTER + Duration::from_micros(1);
        let early = overload.max(arrived + MAX_WAIT_OVERLOADED);
        Some(early.min(arrived + MAX_WAIT))
    }

    fn max_wait(&self, now: MonoTime) -> Duration {
        if self.is_overloaded(now) {
            MAX_WAIT_OVERLOADED
        } else {
            MAX_WAIT
        }
    }

    fn reset_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.nonempty_since = None;
        }
    }
}
