use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::ZoneName;
use crate::units::MonoTime;

use crate::steering::{Position, SyncStatus, ZoneChange, ZoneDrainsUpdate};

/// The availability zones that an operator has taken out of service, up to a position of the store.
///
/// A state replaces another only if its position is the same or later, whichever path it took. The
/// set stays in force however old it is.
#[derive(Clone, Debug, Default)]
pub struct ZoneDrains {
    as_of: Position,
    /// The position at which the set last changed.
    last_change: Position,
    /// The zones that the store lists.
    listed: BTreeSet<ZoneName>,
    /// The zones that only an earlier era of the store listed, in force until `kept_until`.
    kept: BTreeSet<ZoneName>,
    kept_until: MonoTime,
    /// When zones returned to service.
    returned: BTreeMap<ZoneName, MonoTime>,
    /// Unlike `last_confirmed`, its confirmation ends with a pause of the process.
    sync: SyncStatus,
    last_confirmed: Option<MonoTime>,
}

impl ZoneDrains {
    /// Returns the position up to which the set is known.
    pub const fn as_of(&self) -> Position {
        self.as_of
    }

    /// Returns the position at which the set last changed.
    pub const fn last_change(&self) -> Position {
        self.last_change
    }

    /// Returns whether the set is known and confirmed since the last pause.
    pub const fn sync(&self) -> &SyncStatus {
        &self.sync
    }

    /// Returns the time since the set was last confirmed; `None` if it never was.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.last_confirmed.map(|at| now.since(at))
    }

    /// Returns whether the zone is out of service.
    pub fn is_drained(&self, zone: &ZoneName) -> bool {
        self.listed.contains(zone) || self.kept.contains(zone)
    }

    /// Returns whether any zone is out of service.
    pub(crate) fn has_drained(&self) -> bool {
        !self.listed.is_empty() || !self.kept.is_empty()
    }

    /// Returns the number of zones out of service.
    pub fn drained_count(&self) -> usize {
        self.listed.len() + self.kept.len()
    }

    /// Returns whether a zone returned to service less than `ramp` ago.
    pub(crate) fn has_returning(&self, now: MonoTime, ramp: Duration) -> bool {
        self.returned.values().any(|at| now < *at + ramp)
    }

    /// Returns the share of new flows for which the zone is considered, which rises over `ramp`
    /// from 0 to 1 after its return.
    pub(crate) fn share(&self, zone: &ZoneName, now: MonoTime, ramp: Duration) -> f32 {
        let elapsed = self.returned.get(zone).map(|at| now.since(*at));
        let elapsed = elapsed.filter(|elapsed| *elapsed < ramp);
        elapsed.map_or(1.0, |e| e.as_secs_f32() / ramp.as_secs_f32())
    }

    /// Replaces the set by the zones that the store lists at `as_of`, and returns the changes that
    /// took effect; `None` if the list is older than the present state.
    ///
    /// A zone that a later era of the store lacks stays out of service for `settling`, in which
    /// its operator can write the request again.
    pub(crate) fn apply_listing(
        &mut self,
        now: MonoTime,
        as_of: Position,
        zones: BTreeSet<ZoneName>,
        settling: Duration,
    ) -> Option<Vec<ZoneChange>> {
        let is_known = self.sync.known_since().is_some();
        if is_known && as_of < self.as_of {
            return None;
        }
        let before = self.in_force();
        if is_known && as_of.era > self.as_of.era {
            self.kept.clone_from(&before);
            self.kept_until = now + settling;
        }
        Some(self.replace(now, as_of, zones, &before))
    }

    /// Applies changes up to `as_of` and returns those that took effect; `None` if they are older
    /// than the present state.
    pub(crate) fn apply_changes(
        &mut self,
        now: MonoTime,
        as_of: Position,
        changes: Vec<ZoneChange>,
    ) -> Option<Vec<ZoneChange>> {
        if as_of < self.as_of {
            return None;
        }
        let before = self.in_force();
        let mut listed = self.listed.clone();
        for change in changes {
            match change {
                ZoneChange::Drained(zone) => {
                    listed.insert(zone);
                }
                ZoneChange::Returned(zone) => {
                    listed.remove(&zone);
                    self.kept.remove(&zone);
                }
            }
        }
        Some(self.replace(now, as_of, listed, &before))
    }

    /// Applies a peer's state and returns the changes that took effect; `None` if it is older than
    /// the present state.
    pub(crate) fn apply_update(
        &mut self,
        now: MonoTime,
        update: ZoneDrainsUpdate,
        settling: Duration,
    ) -> Option<Vec<ZoneChange>> {
        let is_first = self.sync.known_since().is_none();
        let listed = update.listed.into_iter().collect();
        let mut changes = self.apply_listing(now, update.as_of, listed, settling)?;
        if is_first {
            self.kept_until = now + update.kept_for;
            for zone in update.kept {
                if self.listed.contains(&zone) {
                    continue;
                }
                self.kept.insert(zone.clone());
                changes.push(ZoneChange::Drained(zone));
            }
        }
        Some(changes)
    }

    /// Returns the state for a peer; `None` if it was never confirmed.
    pub(crate) fn update(&self, now: MonoTime) -> Option<ZoneDrainsUpdate> {
        Some(ZoneDrainsUpdate {
            as_of: self.as_of,
            age: self.age(now)?,
            listed: self.listed.iter().cloned().collect(),
            kept: self.kept.iter().cloned().collect(),
            kept_for: if self.kept.is_empty() {
                Duration::ZERO
            } else {
                self.kept_until.since(now)
            },
        })
    }

    /// Records a state that may be seconds old.
    pub(crate) fn mark_known(&mut self, now: MonoTime) {
        self.sync.mark_known(now);
    }

    /// Records that the store or a peer confirmed the set at `at`.
    pub(crate) fn confirm(&mut self, at: MonoTime) {
        self.sync.confirm(at);
        self.last_confirmed = self.last_confirmed.max(Some(at));
    }

    /// Records a pause of the process, after which the set has to be read again.
    pub(crate) fn clear_confirmation(&mut self) {
        self.sync.clear_confirmation();
    }

    /// Returns zones to service that the present era of the store has not listed in time, and
    /// returns these changes; forgets returns that are older than `ramp`.
    pub(crate) fn sweep(&mut self, now: MonoTime, ramp: Duration) -> Vec<ZoneChange> {
        self.returned.retain(|_, at| now < *at + ramp);
        if self.kept.is_empty() || now < self.kept_until {
            return Vec::new();
        }
        let before = self.in_force();
        self.kept.clear();
        self.record_effect(now, &before)
    }

    fn in_force(&self) -> BTreeSet<ZoneName> {
        self.listed.union(&self.kept).cloned().collect()
    }

    fn replace(
        &mut self,
        now: MonoTime,
        as_of: Position,
        listed: BTreeSet<ZoneName>,
        before: &BTreeSet<ZoneName>,
    ) -> Vec<ZoneChange> {
        self.as_of = as_of;
        if listed != self.listed {
            self.last_change = as_of;
        }
        self.kept.retain(|zone| !listed.contains(zone));
        self.listed = listed;
        self.record_effect(now, before)
    }

    /// Returns the difference from `before`, and records when zones returned.
    fn record_effect(&mut self, now: MonoTime, before: &BTreeSet<ZoneName>) -> Vec<ZoneChange> {
        let after = self.in_force();
        let mut changes = Vec::new();
        for zone in after.difference(before) {
            self.returned.remove(zone);
            changes.push(ZoneChange::Drained(zone.clone()));
        }
        for zone in before.difference(&after) {
            self.returned.insert(zone.clone(), now);
            changes.push(ZoneChange::Returned(zone.clone()));
        }
        changes
    }
}
