use std::net::SocketAddrV4;

use hashbrown::HashTable;

use super::{FlowEntry, FlowKey};

/// Entries sampled for an eviction, which removes the longest idle evictable one.
const EVICTION_SAMPLE: usize = 16;
/// The most buckets scanned per eviction, so that a table full of pins does not stall the packet
/// path.
const EVICTION_SCAN: usize = 1_024;

/// The flows of one service, keyed by the flow's hash and the caller's address.
#[derive(Clone, Debug)]
pub(crate) struct FlowTable {
    service: SocketAddrV4,
    entries: HashTable<FlowEntry>,
    capacity: usize,
    eviction_cursor: usize,
    /// The number of entries per target index.
    counts: Vec<u32>,
}

impl FlowTable {
    /// Returns an empty table for at most `capacity` flows.
    pub(crate) fn new(service: SocketAddrV4, capacity: usize) -> Self {
        Self {
            service,
            entries: HashTable::new(),
            capacity: capacity.max(1),
            eviction_cursor: 0,
            counts: Vec::new(),
        }
    }

    /// Returns the hash of a caller's flow.
    pub(crate) fn hash(&self, caller: SocketAddrV4) -> u64 {
        hash(self.service, caller)
    }

    /// Sets the service's address; if it changes, all entries are removed, since every hash
    /// includes the address.
    pub(crate) fn set_service(&mut self, service: SocketAddrV4) {
        if service == self.service {
            return;
        }
        self.service = service;
        self.entries.clear();
        self.counts.clear();
    }

    /// Sets the capacity; entries in excess are removed by later evictions.
    pub(crate) fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
    }

    /// Returns the number of flows.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is at capacity, so that the next insertion needs an eviction.
    pub(crate) fn is_full(&self) -> bool {
        self.entries.len() >= self.capacity
    }

    /// Returns the number of flows assigned to a target.
    pub(crate) fn count(&self, target: u16) -> u32 {
        self.counts.get(usize::from(target)).copied().unwrap_or(0)
    }

    /// Returns the entry of a caller's flow.
    pub(crate) fn get(&self, hash: u64, caller: &SocketAddrV4) -> Option<&FlowEntry> {
        self.entries.find(hash, |e| e.belongs_to(caller))
    }

    /// Returns the entry of a caller's flow for changes; its target must not be changed, because
    /// the counts per target would not follow.
    pub(crate) fn get_mut(&mut self, hash: u64, caller: &SocketAddrV4) -> Option<&mut FlowEntry> {
        self.entries.find_mut(hash, |e| e.belongs_to(caller))
    }

    /// Inserts an entry, or replaces the entry of the same caller.
    pub(crate) fn insert(&mut self, entry: FlowEntry) {
        let caller = entry.caller();
        let hash = self.hash(caller);
        let old = match self.entries.find_mut(hash, |e| e.belongs_to(&caller)) {
            Some(e) => Some(std::mem::replace(e, entry).target()),
            None => {
                let service = self.service;
                let rehash = |e: &FlowEntry| self::hash(service, e.caller());
                self.entries.insert_unique(hash, entry, rehash);
                None
            }
        };
        if let Some(target) = old {
            self.decrement_count(target);
        }
        let target = usize::from(entry.target());
        if self.counts.len() <= target {
            self.counts.resize(target + 1, 0);
        }
        self.counts[target] += 1;
    }

    /// Removes the entry of a caller's flow.
    pub(crate) fn remove(&mut self, hash: u64, caller: &SocketAddrV4) {
        if let Some(at) = self
            .entries
            .find_bucket_index(hash, |e| e.belongs_to(caller))
        {
            self.remove_bucket(at);
        }
    }

    /// Removes the longest idle entry in a sample of those for which `is_evictable` returns true.
    ///
    /// Returns whether an entry was removed.
    pub(crate) fn evict(&mut self, is_evictable: impl Fn(u64, &FlowEntry) -> bool) -> bool {
        let buckets = self.entries.num_buckets();
        let mut oldest: Option<(usize, FlowEntry)> = None;
        let mut sampled = 0;
        for _ in 0..buckets.min(EVICTION_SCAN) {
            self.eviction_cursor = (self.eviction_cursor + 1) % buckets;
            let Some(e) = self.entries.get_bucket(self.eviction_cursor) else {
                continue;
            };
            sampled += 1;
            if is_evictable(hash(self.service, e.caller()), e)
                && oldest.is_none_or(|(_, b)| e.is_older_than(&b))
            {
                oldest = Some((self.eviction_cursor, *e));
            }
            if sampled >= EVICTION_SAMPLE && oldest.is_some() {
                break;
            }
        }
        oldest.is_some_and(|(at, _)| self.remove_bucket(at).is_some())
    }

    /// Calls `f` for the entries in the `n` buckets from `at` on, and removes those for which `f`
    /// returns true.
    ///
    /// Returns the bucket to continue at, or `None` at the end of the table.
    pub(crate) fn sweep(
        &mut self,
        at: usize,
        n: usize,
        mut f: impl FnMut(u64, &mut FlowEntry) -> bool,
    ) -> Option<usize> {
        let end = at.saturating_add(n).min(self.entries.num_buckets());
        let service = self.service;
        for bucket in at..end {
            let Some(e) = self.entries.get_bucket_mut(bucket) else {
                continue;
            };
            if f(hash(service, e.caller()), e) {
                self.remove_bucket(bucket);
            }
        }
        (end < self.entries.num_buckets()).then_some(end)
    }

    /// Returns the bucket of the first entry for which `f` returns true.
    pub(crate) fn position(&self, f: impl Fn(u64, &FlowEntry) -> bool) -> Option<usize> {
        (0..self.entries.num_buckets()).find(|&bucket| {
            let e = self.entries.get_bucket(bucket);
            e.is_some_and(|e| f(hash(self.service, e.caller()), e))
        })
    }

    /// Returns all entries in unspecified order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &FlowEntry> {
        self.entries.iter()
    }

    fn remove_bucket(&mut self, bucket: usize) -> Option<FlowEntry> {
        let (e, _) = self.entries.get_bucket_entry(bucket).ok()?.remove();
        self.decrement_count(e.target());
        Some(e)
    }

    fn decrement_count(&mut self, target: u16) {
        if let Some(n) = self.counts.get_mut(usize::from(target)) {
            *n = n.saturating_sub(1);
        }
    }
}

fn hash(service: SocketAddrV4, caller: SocketAddrV4) -> u64 {
    FlowKey { caller, service }.hash64()
}
