use std::collections::BTreeSet;

use crate::ids::ZoneName;
use crate::units::MonoTime;

use crate::steering::{Decision, Position, Steering, ZoneChange, ZoneDrains, ZoneDrainsUpdate};

impl Steering {
    /// Returns the known set of drained zones.
    pub const fn zone_drains(&self) -> &ZoneDrains {
        &self.zone_drains
    }

    /// Applies the full list of drained zones at the store's position `as_of`, current at
    /// `confirmed`; without that time the list may be seconds old.
    pub fn on_zone_drains(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        as_of: Position,
        zones: BTreeSet<ZoneName>,
    ) {
        let settling = self.cfg.return_settling;
        let changes = self.zone_drains.apply_listing(now, as_of, zones, settling);
        self.finish_zone_update(now, confirmed, as_of, changes);
    }

    /// Applies the store's changes of the drained zones up to `as_of`, the latest position at
    /// `confirmed`; without that time the changes may be old and confirm nothing.
    pub fn on_zone_changes(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        as_of: Position,
        changes: Vec<ZoneChange>,
    ) {
        let changes = self.zone_drains.apply_changes(now, as_of, changes);
        self.finish_zone_update(now, confirmed, as_of, changes);
    }

    /// Applies a peer's set of drained zones.
    pub(super) fn on_peer_zone_drains(&mut self, now: MonoTime, update: ZoneDrainsUpdate) {
        let (as_of, confirmed) = (update.as_of, now - update.age);
        let settling = self.cfg.return_settling;
        let changes = self.zone_drains.apply_update(now, update, settling);
        self.finish_zone_update(now, Some(confirmed), as_of, changes);
    }

    /// Returns zones to service that the store has not listed again in time after its return.
    pub(in crate::steering) fn sweep_zone_drains(&mut self, now: MonoTime) {
        let ramp = self.cfg.zone_drains.return_ramp;
        let changes = self.zone_drains.sweep(now, ramp);
        self.record_zone_changes(changes);
    }

    fn finish_zone_update(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        as_of: Position,
        changes: Option<Vec<ZoneChange>>,
    ) {
        let Some(changes) = changes else {
            return;
        };
        self.observe_era(now, as_of);
        match confirmed {
            Some(at) => self.zone_drains.confirm(at),
            None => self.zone_drains.mark_known(now),
        }
        self.record_zone_changes(changes);
    }

    fn record_zone_changes(&mut self, changes: Vec<ZoneChange>) {
        for change in changes {
            let (zone, is_drained) = match change {
                ZoneChange::Drained(zone) => (zone, true),
                ZoneChange::Returned(zone) => (zone, false),
            };
            let targets = self.directory.listed_in_zone(&zone);
            // A balancer that has just started may know the drained zones before the targets.
            let is_unknown =
                targets == 0 && zone != self.cfg.zone && self.directory.listed_count() > 0;
            self.record_decision(Decision::Zone {
                zone,
                is_drained,
                is_unknown,
                targets,
                as_of: self.zone_drains.as_of(),
            });
        }
    }
}
