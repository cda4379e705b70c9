use std::hash::Hash;

use hashbrown::HashMap;

use crate::units::MonoTime;

/// The times at which packets first arrived that the balancer's knowledge does not account for.
///
/// Knowledge that was confirmed long enough after the first such packet is not outdated with
/// respect to it. That holds only for what the packet itself proves: one of an open flow proves that
/// this flow existed, not that a flow of the same service did that is opened later.
#[derive(Clone, Debug)]
pub(crate) struct FirstSeen<K> {
    first_seen: HashMap<K, MonoTime>,
    /// The maximum number of keys; packets with further keys count as new each time.
    capacity: usize,
}

impl<K: Eq + Hash> FirstSeen<K> {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            first_seen: HashMap::new(),
            capacity,
        }
    }

    /// Returns when the first packet with `key` arrived, which is `at` for a new key.
    pub(crate) fn since(&mut self, key: K, at: MonoTime) -> MonoTime {
        if self.first_seen.len() >= self.capacity && !self.first_seen.contains_key(&key) {
            return at;
        }
        *self.first_seen.entry(key).or_insert(at)
    }

    /// Returns when the first packet with `key` arrived; `None` if there was none.
    pub(crate) fn get(&self, key: &K) -> Option<MonoTime> {
        self.first_seen.get(key).copied()
    }

    /// Forgets the packets with `key`.
    pub(crate) fn remove(&mut self, key: &K) {
        self.first_seen.remove(key);
    }

    /// Removes the keys for which `keep` returns `false`.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&K, MonoTime) -> bool) {
        self.first_seen.retain(|key, at| keep(key, *at));
    }
}
