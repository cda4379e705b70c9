use std::hash::Hash;

use hashbrown::HashMap;

use crate::units::MonoTime;

/// The times at which packets first arrived that the balancer's knowledge does not account for.
///
/// Knowledge that was confirmed long enough after the first such packet is not outdated with
/// respect to it.
#[derive(Clone, Debug)]
pub(crate) struct FirstSeen<K> {
    first_seen: HashMap<K, MonoTime>,
}

/// The maximum number of keys; packets with further keys count as new each time and are dropped.
const CAPACITY: usize = 4_096;

impl<K: Eq + Hash> FirstSeen<K> {
    pub(crate) fn new() -> Self {
        Self {
            first_seen: HashMap::new(),
        }
    }

    /// Returns when the first packet with `key` arrived, which is `now` for a new key.
    pub(crate) fn since(&mut self, key: K, now: MonoTime) -> MonoTime {
        if self.first_seen.len() >= CAPACITY && !self.first_seen.contains_key(&key) {
            return now;
        }
        *self.first_seen.entry(key).or_insert(now)
    }

    /// Returns when the first packet with `key` arrived; `None` if there was none.
    pub(crate) fn get(&self, key: &K) -> Option<MonoTime> {
        self.first_seen.get(key).copied()
    }

    /// Removes the keys for which `keep` returns `false`.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&K, MonoTime) -> bool) {
        self.first_seen.retain(|key, at| keep(key, *at));
    }
}
