use std::time::Duration;

use crate::flow::FlowKey;
use crate::units::MonoTime;

/// A request that waits for room at its target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) flow: FlowKey,
    /// When its first packet arrived.
    pub(crate) since: MonoTime,
    /// The latest time at which it can go on and still be answered within its latency target.
    pub(crate) useful_until: MonoTime,
    /// When its caller gives up.
    pub(crate) given_up_at: MonoTime,
    /// The priority of its route; 0 is the highest.
    pub(crate) priority: u8,
}

/// The requests that wait for room at one target.
///
/// First go those that can still meet their latency target, the most urgent route first and in it
/// the newest: the older ones would take the room only to be late. The others follow, the oldest
/// first.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingRequests {
    requests: Vec<WaitingRequest>,
}

impl WaitingRequests {
    pub(crate) fn push(&mut self, req: WaitingRequest) {
        self.requests.push(req);
    }

    /// Returns all requests.
    pub(crate) fn into_all(self) -> Vec<WaitingRequest> {
        self.requests
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Keeps the requests for which `keep` returns true.
    pub(crate) fn retain(&mut self, keep: impl FnMut(&WaitingRequest) -> bool) {
        self.requests.retain(keep);
    }

    /// Returns whether a request can still meet its latency target.
    pub(crate) fn has_useful(&self, now: MonoTime) -> bool {
        self.requests.iter().any(|r| now <= r.useful_until)
    }

    /// Removes and returns the request that goes next.
    pub(crate) fn pop(&mut self, now: MonoTime) -> Option<WaitingRequest> {
        let rank = |req: &WaitingRequest| {
            let is_late = now > req.useful_until;
            let age = now.since(req.since);
            let order = if is_late { Duration::MAX - age } else { age };
            (is_late, req.priority, order)
        };
        let next = (0..self.requests.len()).min_by_key(|i| rank(&self.requests[*i]))?;
        Some(self.requests.swap_remove(next))
    }

    /// Removes and returns the request that has waited longest.
    pub(crate) fn pop_oldest(&mut self) -> Option<WaitingRequest> {
        let oldest = (0..self.requests.len()).min_by_key(|i| self.requests[*i].since)?;
        Some(self.requests.swap_remove(oldest))
    }

    /// Removes and returns a request whose caller has given up.
    pub(crate) fn pop_expired(&mut self, now: MonoTime) -> Option<WaitingRequest> {
        let expired = self.requests.iter().position(|r| now >= r.given_up_at)?;
        Some(self.requests.swap_remove(expired))
    }
}
