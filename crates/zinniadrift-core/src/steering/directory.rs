use std::hash::Hash;
use std::time::Duration;

use hashbrown::{HashMap, HashSet};
use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;
use crate::units::MonoTime;

use super::change_log::{ChangeLog, Coverage};
use super::cookie::TargetTag;
use super::target_state::{Presence, TargetRecord};
use super::{DirectoryListing, Revision, TargetInstance};

/// Is one change of the store's list of targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetChange {
    /// A target registered or changed its entry.
    Put(TargetInstance),
    /// The entry of the named target was removed, or names no usable target any more.
    Removed(Box<str>),
}

/// Is the position of a target in the directory.
///
/// Targets that became known later have higher ones.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct TargetIndex(u32);

/// Knows all targets that can be behind a cookie: listed, lapsed and ended ones.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    as_of: Revision,
    records: HashMap<TargetIndex, TargetRecord>,
    by_name: HashMap<Box<str>, TargetIndex>,
    /// Holds all targets with a tag; more than one only if hashes collide.
    by_tag: HashMap<TargetTag, Vec<TargetIndex>>,
    by_service: HashMap<ServiceId, Vec<TargetIndex>>,
    next: u32,
    log: ChangeLog,
    /// The revision of the last state that differed from the one before.
    changed: Revision,
}

impl Directory {
    /// Returns the revision of the newest state.
    pub const fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Returns the listed targets, for peers that cannot reach the store.
    pub fn listing(&self) -> DirectoryListing {
        let listed = self.records.values();
        let listed = listed.filter(|r| r.presence == Presence::Listed);
        DirectoryListing {
            as_of: self.as_of,
            targets: listed.map(|r| r.instance.clone()).collect(),
        }
    }

    /// Returns the number of listed targets.
    pub fn listed_count(&self) -> usize {
        let listed = |r: &&TargetRecord| r.presence == Presence::Listed;
        self.records.values().filter(listed).count()
    }

    /// Returns the changes after `revision`, or `None` if some are not known one by one.
    pub(crate) fn changes_since(&self, revision: Revision) -> Option<Vec<TargetChange>> {
        self.log.since(revision)
    }

    /// Returns the revision of the last state that differed from the one before.
    pub const fn last_change(&self) -> Revision {
        self.changed
    }

    /// Replaces the state by a full list; an older list than the present state is ignored.
    ///
    /// Returns the differences, or `None` if the list was ignored.
    pub(crate) fn replace(
        &mut self,
        listing: DirectoryListing,
        now: MonoTime,
    ) -> Option<Vec<TargetChange>> {
        if listing.as_of < self.as_of {
            return None;
        }
        if self.records.is_empty() {
            self.log = ChangeLog::starting_after(listing.as_of);
        }
        let missing = self.missing_from(&listing).into_iter();
        let removed = missing.map(TargetChange::Removed);
        let put = listing.targets.into_iter().map(TargetChange::Put);
        let changes = removed.chain(put).collect();
        Some(self.apply(changes, Coverage::Difference, listing.as_of, now))
    }

    fn missing_from(&self, listing: &DirectoryListing) -> Vec<Box<str>> {
        let names: HashSet<&str> = listing.targets.iter().map(|t| &*t.name).collect();
        let known = self.records.values().map(|r| &r.instance.name);
        known.filter(|n| !names.contains(&***n)).cloned().collect()
    }

    /// Applies changes up to `as_of` and returns those that were new.
    ///
    /// `coverage` tells what the changes hold. Those of an older state than the present one are
    /// ignored.
    pub(crate) fn apply(
        &mut self,
        changes: Vec<TargetChange>,
        coverage: Coverage,
        as_of: Revision,
        now: MonoTime,
    ) -> Vec<TargetChange> {
        if as_of < self.as_of {
            return Vec::new();
        }
        if coverage == Coverage::Difference {
            self.log.push_difference(self.as_of, as_of);
        }
        self.as_of = as_of;
        let mut news = Vec::new();
        for change in changes {
            let is_new = self.is_new(&change);
            // A peer with a state in between may miss what is nothing new here.
            if is_new || coverage == Coverage::All {
                self.log.push(as_of, change.clone());
            }
            if !is_new {
                continue;
            }
            self.changed = as_of;
            news.push(change.clone());
            match change {
                TargetChange::Put(instance) => self.put(instance, now),
                TargetChange::Removed(name) => self.remove(&name, now),
            }
        }
        news
    }

    fn is_new(&self, change: &TargetChange) -> bool {
        let listed = |name: &str| {
            let index = self.by_name.get(name);
            let record = index.and_then(|index| self.records.get(index));
            record.filter(|r| r.presence == Presence::Listed)
        };
        match change {
            TargetChange::Put(instance) => {
                listed(&instance.name).is_none_or(|r| r.instance != *instance)
            }
            TargetChange::Removed(name) => listed(name).is_some(),
        }
    }

    fn put(&mut self, instance: TargetInstance, now: MonoTime) {
        let Some(&index) = self.by_name.get(&instance.name) else {
            self.insert(instance, now);
            return;
        };
        let Some(record) = self.records.get_mut(&index) else {
            return;
        };
        let before = record.instance.service;
        let after = instance.service;
        record.update(instance, now);
        if before != after {
            unlink(&mut self.by_service, &before, index);
            self.by_service.entry(after).or_default().push(index);
        }
    }

    fn insert(&mut self, instance: TargetInstance, now: MonoTime) {
        let index = TargetIndex(self.next);
        self.next = self.next.wrapping_add(1);
        let record = TargetRecord::new(instance, now);
        let instance = &record.instance;
        self.by_name.insert(instance.name.clone(), index);
        self.by_tag.entry(record.tag).or_default().push(index);
        let service = self.by_service.entry(instance.service).or_default();
        service.push(index);
        self.records.insert(index, record);
    }

    fn remove(&mut self, name: &str, now: MonoTime) {
        let index = self.by_name.get(name);
        let Some(record) = index.and_then(|index| self.records.get_mut(index)) else {
            return;
        };
        if record.presence != Presence::Listed {
            return;
        }
        // Even a target that announced its end may live: its entry can have expired in an outage.
        record.presence = Presence::Lapsed { at: now };
    }

    /// Ends the uncertainty about lapsed targets and forgets targets that ended long ago.
    ///
    /// A target counts as gone when it was missing for `grace` and the store confirmed the list
    /// at least that long after.
    pub(crate) fn sweep(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        grace: Duration,
        memory: Duration,
    ) {
        let mut forgotten = Vec::new();
        for (&index, record) in &mut self.records {
            match record.presence {
                Presence::Lapsed { at } if confirmed.is_some_and(|c| c >= at + grace) => {
                    record.presence = Presence::Gone { at: now };
                }
                Presence::Gone { at } if now >= at + memory => forgotten.push(index),
                _ => {}
            }
        }
        for index in forgotten {
            self.forget(index);
        }
    }

    fn forget(&mut self, index: TargetIndex) {
        let Some(record) = self.records.remove(&index) else {
            return;
        };
        self.by_name.remove(&record.instance.name);
        unlink(&mut self.by_tag, &record.tag, index);
        unlink(&mut self.by_service, &record.instance.service, index);
    }

    /// Returns the target that a tag names.
    ///
    /// Of several with one tag only the first that became known has it: the others get no flows.
    pub(crate) fn find(&self, tag: TargetTag) -> Option<TargetIndex> {
        self.by_tag.get(&tag)?.first().copied()
    }

    pub(crate) fn find_name(&self, name: &str) -> Option<TargetIndex> {
        self.by_name.get(name).copied()
    }

    /// Tells whether more than half of the service's listed targets would count as dead with
    /// `index`.
    pub(crate) fn is_mostly_dead_without(&self, index: TargetIndex) -> bool {
        let Some(record) = self.get(index) else {
            return false;
        };
        let others = self.of_service(record.instance.service).iter();
        let others = others.filter(|i| **i != index).filter_map(|i| self.get(*i));
        let (mut listed, mut dead) = (1, 1);
        for other in others.filter(|r| r.presence == Presence::Listed) {
            listed += 1;
            dead += usize::from(other.liveness.is_dead());
        }
        dead * 2 > listed
    }

    /// Tells whether the target's address has a later owner.
    pub(crate) fn has_successor(&self, index: TargetIndex) -> bool {
        let Some(record) = self.get(index) else {
            return false;
        };
        let address = record.instance.address;
        self.records.iter().any(|(other, r)| {
            *other > index && r.presence == Presence::Listed && r.instance.address == address
        })
    }

    /// Tells whether the target was found dead and its address has a later owner, which accepts
    /// connections there and ignores packets for the dead one.
    pub(crate) fn is_succeeded(&self, index: TargetIndex) -> bool {
        let has_died = self.get(index).is_some_and(|r| r.liveness.has_died());
        has_died && self.has_successor(index)
    }

    /// Returns the listed targets that count as dead.
    pub(crate) fn dead_targets(&self) -> Vec<TargetIndex> {
        let listed = |r: &TargetRecord| r.presence == Presence::Listed;
        let dead = self
            .records
            .iter()
            .filter(|(_, r)| r.liveness.is_dead() && listed(r));
        dead.map(|(index, _)| *index).collect()
    }

    /// Tells whether the target owns its tag, so that its cookie names no other target.
    pub(crate) fn owns_tag(&self, index: TargetIndex) -> bool {
        let record = self.get(index);
        record.is_some_and(|r| self.find(r.tag) == Some(index))
    }

    pub(crate) fn get(&self, index: TargetIndex) -> Option<&TargetRecord> {
        self.records.get(&index)
    }

    pub(crate) fn get_mut(&mut self, index: TargetIndex) -> Option<&mut TargetRecord> {
        self.records.get_mut(&index)
    }

    pub(crate) fn records_mut(&mut self) -> impl Iterator<Item = &mut TargetRecord> {
        self.records.values_mut()
    }

    /// Returns the targets of a service in the order in which they became known.
    pub(crate) fn of_service(&self, service: ServiceId) -> &[TargetIndex] {
        self.by_service.get(&service).map_or(&[], Vec::as_slice)
    }
}

/// Takes a target out of the list under `key`, and an empty list out of the map.
fn unlink<K: Eq + Hash>(lists: &mut HashMap<K, Vec<TargetIndex>>, key: &K, index: TargetIndex) {
    if let Some(list) = lists.get_mut(key) {
        list.retain(|i| *i != index);
        if list.is_empty() {
            lists.remove(key);
        }
    }
}
