use std::time::Duration;

use super::{ReportCheck, TargetEntry, TargetReport};
use crate::ids::TargetId;
use crate::settings::Target;
use crate::units::MonoTime;

/// The age from which a load report is stale and not used.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// The targets of a service; an index stays valid as long as the service exists.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetTable {
    entries: Vec<TargetEntry>,
    usable_load: f64,
    usable_weight: f64,
}

impl TargetTable {
    /// Returns a target by index.
    pub(super) fn get(&self, index: u16) -> Option<&TargetEntry> {
        self.entries.get(usize::from(index))
    }

    /// Returns the index of a target, which is added if it is new.
    pub(super) fn index_or_add(&mut self, id: TargetId) -> u16 {
        let found = self.entries.iter().position(|e| e.id == id);
        let index = found.unwrap_or_else(|| {
            self.entries.push(TargetEntry::new(id));
            self.entries.len() - 1
        });
        index as u16
    }

    /// Applies the targets of new settings; with `ramp`, newly active ones ramp up.
    pub(super) fn configure(&mut self, now: MonoTime, targets: &[Target], ramp: bool) {
        let before: Vec<bool> = self.entries.iter().map(|e| e.active).collect();
        for entry in &mut self.entries {
            entry.configured = false;
            entry.active = false;
        }
        for t in targets {
            let index = usize::from(self.index_or_add(t.id));
            let entry = &mut self.entries[index];
            entry.configured = true;
            entry.active = t.is_active();
            entry.weight = t.weight.get().into();
            let was_active = before.get(index).copied().unwrap_or(false);
            if entry.active && !was_active {
                entry.ramp_start = ramp.then_some(now);
            }
        }
        self.update_totals();
    }

    /// Applies a load report; returns whether the target's health changed.
    pub(super) fn report(&mut self, now: MonoTime, report: &TargetReport) -> bool {
        let Some(entry) = self.entries.iter_mut().find(|e| e.id == report.target) else {
            return false;
        };
        let changed = entry.healthy != report.healthy;
        entry.healthy = report.healthy;
        if report.healthy {
            entry.reported_at = Some(now);
            entry.reported = f64::from(report.open_flows) + entry.recent.sum(now);
            if !entry.implausible {
                entry.load = entry.reported;
            }
        }
        self.update_totals();
        changed
    }

    /// Ejects unhealthy targets up to the share `limit` of the active ones.
    ///
    /// Returns each changed target and whether it is ejected now.
    pub(super) fn eject(&mut self, limit: f64) -> Vec<(TargetId, bool)> {
        let active = self.entries.iter().filter(|e| e.active).count();
        let mut allowed = (active as f64 * limit.clamp(0.0, 1.0)).floor() as usize;
        let mut order: Vec<usize> = (0..self.entries.len()).collect();
        // Targets that are ejected already come first, so that the ejected set does not oscillate.
        order.sort_by_key(|&i| (!self.entries[i].ejected, self.entries[i].id));
        let mut changes = Vec::new();
        for i in order {
            let entry = &mut self.entries[i];
            let eject = entry.active && !entry.healthy && allowed > 0;
            allowed -= usize::from(eject);
            if eject != entry.ejected {
                entry.ejected = eject;
                changes.push((entry.id, eject));
            }
        }
        self.update_totals();
        changes
    }

    /// Replaces stale and implausible reports by estimates from the number of known flows.
    pub(super) fn refresh(&mut self, now: MonoTime, known: impl Fn(u16) -> u32) {
        let known = |i: usize| f64::from(known(i as u16));
        let fresh = |e: &TargetEntry| {
            e.reported_at
                .is_some_and(|at| now.since(at) < REPORT_TIMEOUT)
        };
        let pairs = self.entries.iter().enumerate();
        let pairs = pairs.filter(|(_, e)| e.active && fresh(e));
        let check = ReportCheck::new(pairs.map(|(i, e)| (e.reported, known(i))));
        for (i, entry) in self.entries.iter_mut().enumerate() {
            if !fresh(entry) {
                entry.implausible = false;
                entry.load = known(i);
                continue;
            }
            entry.implausible = check.is_implausible(entry.reported, known(i));
            if entry.implausible {
                entry.load = check.expected(known(i));
            }
        }
        self.update_totals();
    }

    /// Counts a placement, scaled by the number of members that place flows at the same rate.
    pub(super) fn record_placement(&mut self, now: MonoTime, index: u16, members: f64) {
        let entry = &mut self.entries[usize::from(index)];
        entry.recent.add(now, members);
        entry.load += members;
        if entry.is_usable() {
            self.usable_load += members;
        }
    }

    /// Returns the load of all usable targets relative to their total weight.
    pub(super) fn mean_ratio(&self) -> f64 {
        self.usable_load / self.usable_weight.max(1.0)
    }

    /// Returns the first usable target at or after `start`, wrapping around.
    pub(super) fn any_usable(&self, start: usize) -> Option<u16> {
        let n = self.entries.len();
        let mut indices = (0..n).map(|i| (start + i) % n);
        indices
            .find(|&i| self.entries[i].is_usable())
            .map(|i| i as u16)
    }

    fn update_totals(&mut self) {
        let usable = self.entries.iter().filter(|e| e.is_usable());
        self.usable_load = usable.clone().map(|e| e.load).sum();
        self.usable_weight = usable.map(|e| e.weight).sum();
    }
}
