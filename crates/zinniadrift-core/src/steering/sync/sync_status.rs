use std::time::Duration;

use crate::units::MonoTime;

/// Since when a part of the balancer's knowledge is available, and when it was last confirmed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SyncStatus {
    since: Option<MonoTime>,
    confirmed: Option<MonoTime>,
    /// The time until which the store itself may lack what its writers have to write again.
    settled_at: MonoTime,
}

impl SyncStatus {
    /// Records that the store or a peer confirmed the state at `at`.
    pub fn confirm(&mut self, at: MonoTime) {
        self.since.get_or_insert(at);
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records a state that may be seconds old: it is usable, but no ground for refusing flows.
    pub fn mark_known(&mut self, at: MonoTime) {
        self.since.get_or_insert(at);
    }

    /// Clears the confirmation, for example after a pause of the process.
    pub fn clear_confirmation(&mut self) {
        self.confirmed = None;
    }

    /// Records that the store came back from an older copy: until `at`, the state is no ground for
    /// refusing flows, even if it is confirmed.
    pub fn settle_until(&mut self, at: MonoTime) {
        self.settled_at = self.settled_at.max(at);
    }

    /// Returns whether the store's writers have had the time to write again what it had lost.
    pub fn is_settled(&self, now: MonoTime) -> bool {
        now >= self.settled_at
    }

    /// Returns when the first complete state arrived.
    pub const fn known_since(&self) -> Option<MonoTime> {
        self.since
    }

    /// Returns when the state was last confirmed.
    pub const fn last_confirmed(&self) -> Option<MonoTime> {
        self.confirmed
    }

    /// Returns the time since the last confirmation.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns whether the state was confirmed within `limit` and is settled.
    pub fn is_fresh(&self, now: MonoTime, limit: Duration) -> bool {
        self.is_settled(now) && self.age(now).is_some_and(|age| age <= limit)
    }
}
