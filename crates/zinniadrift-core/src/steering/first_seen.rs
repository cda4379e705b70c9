use std::hash::Hash;

use hashbrown::HashMap;

use crate::units::MonoTime;

/// Remembers since when packets arrive that the balancer's knowledge does not explain.
///
/// Knowledge that was confirmed long enough after the first such packet does not lag behind it.
#[derive(Clone, Debug)]
pub(crate) struct FirstSeen<K> {
    first_seen: HashMap<K, MonoTime>,
}

/// The number of remembered keys; beyond it, packets stay unexplained and are ignored.
const CAPACITY: usize = 4_096;

impl<K: Eq + Hash> FirstSeen<K> {
    pub(crate) fn new() -> Self {
        Self {
            first_seen: HashMap::new(),
        }
    }

    /// Returns when the first packet with `key` came, which is now for a new key.
    pub(crate) fn since(&mut self, key: K, now: MonoTime) -> MonoTime {
        if self.first_seen.len() >= CAPACITY && !self.first_seen.contains_key(&key) {
            return now;
        }
        *self.first_seen.entry(key).or_insert(now)
    }

    /// Forgets the keys that `keep` does not hold for.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&K, MonoTime) -> bool) {
        self.first_seen.retain(|key, at| keep(key, *at));
    }
}
