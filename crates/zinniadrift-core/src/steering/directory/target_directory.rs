use std::hash::Hash;
use std::time::Duration;

use hashbrown::{HashMap, HashSet};
use serde::{Deserialize, Serialize};

use crate::ids::{ServiceId, ZoneName};
use crate::ordered_map::OrderedMap;
use crate::units::MonoTime;

use crate::steering::directory::change_log::{ChangeLog, Coverage};
use crate::steering::directory::cookie::TargetTag;
use crate::steering::targets::target_record::{Presence, TargetRecord};
use crate::steering::{DirectoryListing, Position, RouteTable, TargetInstance};

/// A change of the store's list of targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetChange {
    /// A target was registered or its entry changed.
    Put(TargetInstance),
    /// The entry of the named target was removed or no longer describes a usable target.
    Removed(Box<str>),
}

/// When and with what doubts a list or changes were received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Received<'a> {
    pub(crate) now: MonoTime,
    /// When the store had no other changes; `None` if the state may be seconds old.
    pub(crate) confirmed: Option<MonoTime>,
    /// The targets that the peer which sent them doubts.
    pub(crate) doubtful: &'a [Box<str>],
}

/// The identifier of a target in the directory.
///
/// Targets that became known later have higher values.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct TargetIndex(u32);

/// How long a target that an older copy of the store lists again stays doubtful. The store removes
/// the entry of a target that does not write for three heartbeats of at most 1.2 s.
const DOUBT: Duration = Duration::from_secs(5);

/// All targets that a cookie can identify: listed, lapsed and ended ones.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    as_of: Position,
    /// In the order in which the targets became known.
    records: OrderedMap<TargetIndex, TargetRecord>,
    by_name: HashMap<Box<str>, TargetIndex>,
    /// All targets with a tag; more than one only after a hash collision.
    by_tag: HashMap<TargetTag, Vec<TargetIndex>>,
    by_service: HashMap<ServiceId, Vec<TargetIndex>>,
    next_index: u32,
    log: ChangeLog,
    /// The revision of the last change.
    last_change: Position,
}

impl Directory {
    /// Returns the latest known revision.
    pub const fn as_of(&self) -> Position {
        self.as_of
    }

    /// Returns all listed targets, for peers that need a full list.
    pub fn listing(&self) -> DirectoryListing {
        let listed = self.records.values();
        let listed = listed.filter(|r| r.presence.is_listed());
        DirectoryListing {
            as_of: self.as_of,
            targets: listed.map(|r| r.instance.clone()).collect(),
        }
    }

    /// Returns the names of the doubtful targets, so that a peer that has never known them sends
    /// them no new flow either.
    pub(crate) fn doubtful_names(&self) -> Vec<Box<str>> {
        let doubtful = |r: &&TargetRecord| matches!(r.presence, Presence::Doubtful { .. });
        let doubtful = self.records.values().filter(doubtful);
        doubtful.map(|r| r.instance.name.clone()).collect()
    }

    /// Returns the number of doubtful targets.
    pub fn doubtful_count(&self) -> usize {
        let doubtful = |r: &&TargetRecord| matches!(r.presence, Presence::Doubtful { .. });
        self.records.values().filter(doubtful).count()
    }

    /// Returns the number of targets that the store no longer lists and that may be alive.
    pub fn lapsed_count(&self) -> usize {
        let lapsed = |r: &&TargetRecord| matches!(r.presence, Presence::Lapsed { .. });
        self.records.values().filter(lapsed).count()
    }

    /// Returns the number of listed targets.
    pub fn listed_count(&self) -> usize {
        let listed = |r: &&TargetRecord| r.presence.is_listed();
        self.records.values().filter(listed).count()
    }

    /// Returns the number of listed targets in a zone.
    pub(crate) fn listed_in_zone(&self, zone: &ZoneName) -> usize {
        let listed = |r: &&TargetRecord| r.presence.is_listed() && r.instance.zone == *zone;
        self.records.values().filter(listed).count()
    }

    /// Returns the changes after `revision`, or `None` if the log does not hold all of them.
    pub(crate) fn changes_since(&self, revision: Position) -> Option<Vec<TargetChange>> {
        self.log.since(revision)
    }

    /// Returns the revision of the last change.
    pub const fn last_change(&self) -> Position {
        self.last_change
    }

    /// Replaces the state by a full list; a list older than the present state is ignored.
    ///
    /// Returns the changes that took effect, or `None` if the list was ignored.
    pub(crate) fn apply_listing(
        &mut self,
        listing: DirectoryListing,
        received: Received<'_>,
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
        Some(self.apply_changes(changes, Coverage::NetChange, listing.as_of, received))
    }

    fn missing_from(&self, listing: &DirectoryListing) -> Vec<Box<str>> {
        let names: HashSet<&str> = listing.targets.iter().map(|t| &*t.name).collect();
        let known = self.records.values().map(|r| &r.instance.name);
        known.filter(|n| !names.contains(&***n)).cloned().collect()
    }

    /// Applies the changes up to revision `as_of` and returns those that took effect.
    ///
    /// `coverage` tells whether `changes` holds every change or only the net change. Changes of a
    /// revision older than the present one are ignored.
    pub(crate) fn apply_changes(
        &mut self,
        changes: Vec<TargetChange>,
        coverage: Coverage,
        as_of: Position,
        received: Received<'_>,
    ) -> Vec<TargetChange> {
        if as_of < self.as_of {
            return Vec::new();
        }
        if coverage == Coverage::NetChange {
            self.log.push_net_change(self.as_of, as_of);
        }
        // A store that came back from an older copy repeats what is known to be outdated.
        let is_first = self.records.is_empty();
        let is_copy = as_of.era > self.as_of.era && !is_first;
        self.as_of = as_of;
        let mut effective = self.trust_survivors(as_of, received.confirmed);
        for change in changes {
            let is_effective = self.is_effective(&change);
            // A peer at a revision in between may be missing a change that has no effect here.
            if is_effective || coverage == Coverage::All {
                self.log.push(as_of, change.clone());
            }
            if !is_effective {
                continue;
            }
            self.last_change = as_of;
            effective.push(change.clone());
            match change {
                TargetChange::Put(instance) => {
                    let is_doubtful = received.doubtful.contains(&instance.name);
                    let is_new = !is_first && !self.by_name.contains_key(&instance.name);
                    let index = self.put(instance, is_copy, is_doubtful, received.now);
                    if let Some(record) = self.records.get_mut(&index).filter(|_| is_new) {
                        record.start_seen_at = Some(received.now);
                    }
                }
                TargetChange::Removed(name) => self.remove(&name, received.now),
            }
        }
        effective
    }

    fn is_effective(&self, change: &TargetChange) -> bool {
        let listed = |name: &str| {
            let index = self.by_name.get(name);
            let record = index.and_then(|index| self.records.get(index));
            record.filter(|r| r.presence.is_listed())
        };
        match change {
            // An entry that changed after the store's return was written by a living target.
            TargetChange::Put(instance) => listed(&instance.name)
                .is_none_or(|r| r.presence != Presence::Listed || r.instance != *instance),
            TargetChange::Removed(name) => listed(name).is_some(),
        }
    }

    /// Accepts the doubtful targets that the state confirmed at `confirmed` still lists after the
    /// time in which the store removes the entry of a target that does not write, and returns them
    /// as changes.
    fn trust_survivors(
        &mut self,
        as_of: Position,
        confirmed: Option<MonoTime>,
    ) -> Vec<TargetChange> {
        let Some(confirmed) = confirmed else {
            return Vec::new();
        };
        let mut trusted = Vec::new();
        for record in self.records.values_mut() {
            let Presence::Doubtful { since } = record.presence else {
                continue;
            };
            if confirmed >= since + DOUBT {
                record.presence = Presence::Listed;
                trusted.push(TargetChange::Put(record.instance.clone()));
            }
        }
        for change in &trusted {
            self.last_change = as_of;
            self.log.push(as_of, change.clone());
        }
        trusted
    }

    /// `is_copy` tells whether the entry may be older than what is known, `is_doubtful` whether the
    /// peer that sent it doubts it.
    fn put(
        &mut self,
        instance: TargetInstance,
        is_copy: bool,
        is_doubtful: bool,
        now: MonoTime,
    ) -> TargetIndex {
        let Some(&index) = self.by_name.get(&instance.name) else {
            let index = self.insert(instance, now);
            if let Some(record) = self.records.get_mut(&index).filter(|_| is_doubtful) {
                record.presence = Presence::Doubtful { since: now };
            }
            return index;
        };
        let Some(record) = self.records.get_mut(&index) else {
            return index;
        };
        let before = record.instance.service;
        if is_copy || is_doubtful {
            record.update_from_copy(instance, now);
        } else {
            record.update(instance, now);
        }
        let after = record.instance.service;
        if before != after {
            unlink(&mut self.by_service, &before, index);
            self.by_service.entry(after).or_default().push(index);
        }
        index
    }

    fn insert(&mut self, instance: TargetInstance, now: MonoTime) -> TargetIndex {
        let index = TargetIndex(self.next_index);
        self.next_index = self.next_index.wrapping_add(1);
        let record = TargetRecord::new(instance, now);
        let instance = &record.instance;
        self.by_name.insert(instance.name.clone(), index);
        self.by_tag.entry(record.tag).or_default().push(index);
        let service = self.by_service.entry(instance.service).or_default();
        service.push(index);
        self.records.insert(index, record);
        index
    }

    fn remove(&mut self, name: &str, now: MonoTime) {
        let index = self.by_name.get(name);
        let Some(record) = index.and_then(|index| self.records.get_mut(index)) else {
            return;
        };
        if !record.presence.is_listed() {
            return;
        }
        // A draining target may still be alive too: its entry can have expired in an outage of the
        // store.
        record.presence = Presence::Lapsed { at: now };
    }

    /// Marks lapsed targets as gone once that is certain and returns them, and deletes targets that
    /// ended more than `retention` ago.
    ///
    /// A target counts as gone when it has been missing for `grace` and the store has confirmed the
    /// list at least that long after it went missing.
    pub(crate) fn sweep(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        grace: Duration,
        retention: Duration,
    ) -> Vec<TargetIndex> {
        let (mut gone, mut expired) = (Vec::new(), Vec::new());
        for (&index, record) in &mut self.records {
            match (record.presence, confirmed) {
                (Presence::Lapsed { at }, Some(confirmed)) if confirmed >= at + grace => {
                    record.presence = Presence::Gone { at: now, confirmed };
                    gone.push(index);
                }
                (Presence::Gone { at, .. }, _) if now >= at + retention => expired.push(index),
                _ => {}
            }
        }
        for index in expired {
            self.delete(index);
        }
        gone
    }

    fn delete(&mut self, index: TargetIndex) {
        let Some(record) = self.records.shift_remove(&index) else {
            return;
        };
        self.by_name.remove(&record.instance.name);
        unlink(&mut self.by_tag, &record.tag, index);
        unlink(&mut self.by_service, &record.instance.service, index);
    }

    /// Returns the target that a tag identifies.
    ///
    /// If several targets share a tag, it identifies only the first that became known; the others
    /// get no flows.
    pub(crate) fn find_by_tag(&self, tag: TargetTag) -> Option<TargetIndex> {
        self.by_tag.get(&tag)?.first().copied()
    }

    pub(crate) fn find_by_name(&self, name: &str) -> Option<TargetIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns whether more than half of the service's listed targets would be dead if `index`
    /// were.
    pub(crate) fn is_majority_dead_with(&self, index: TargetIndex) -> bool {
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

    /// Returns the target that has taken over the address of another one.
    ///
    /// Entries of services that the configuration does not have name no target: anyone may write
    /// one, with any address.
    pub(crate) fn new_owner(
        &self,
        index: TargetIndex,
        routes: &RouteTable,
    ) -> Option<&TargetRecord> {
        let record = self.get(index)?;
        let address = record.instance.address;
        let owns = |r: &&TargetRecord| {
            r.presence.is_listed()
                && r.instance.address == address
                && routes.has_service(r.instance.service)
                && record.is_replaced_by(r)
        };
        self.records.values().find(owns)
    }

    /// Returns whether the target died and its address has a new owner, which accepts connections
    /// there and ignores packets meant for the dead target.
    pub(crate) fn is_dead_and_replaced(&self, index: TargetIndex, routes: &RouteTable) -> bool {
        let died_since_response = self
            .get(index)
            .is_some_and(|r| r.liveness.died_since_response());
        died_since_response && self.new_owner(index, routes).is_some()
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

    /// Returns whether the target's tag identifies this target and no other.
    pub(crate) fn owns_tag(&self, index: TargetIndex) -> bool {
        let record = self.get(index);
        record.is_some_and(|r| self.find_by_tag(r.tag) == Some(index))
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

/// Removes a target from the list under `key`, and the list from the map once it is empty.
fn unlink<K: Eq + Hash>(lists: &mut HashMap<K, Vec<TargetIndex>>, key: &K, index: TargetIndex) {
    if let Some(list) = lists.get_mut(key) {
        list.retain(|i| *i != index);
        if list.is_empty() {
            lists.remove(key);
        }
    }
}
