use std::time::Duration;

use super::{ReportCheck, TargetReport, TargetSlot};
use crate::ids::TargetId;
use crate::settings::Target;
use crate::units::MonoTime;

/// The age from which a load report is stale and not used.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// The targets of a service; an index stays valid as long as the service exists.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetSlots {
    slots: Vec<TargetSlot>,
    usable_load: f64,
    usable_weight: f64,
}

impl TargetSlots {
    /// Returns a target by index.
    pub(super) fn get(&self, index: u16) -> Option<&TargetSlot> {
        self.slots.get(usize::from(index))
    }

    /// Returns the index of a target, which is added if it is new.
    pub(super) fn index_or_add(&mut self, id: TargetId) -> u16 {
        let found = self.slots.iter().position(|s| s.id == id);
        let index = found.unwrap_or_else(|| {
            self.slots.push(TargetSlot::new(id));
            self.slots.len() - 1
        });
        index as u16
    }

    /// Applies the targets of new settings; with `ramp`, newly active ones ramp up.
    pub(super) fn configure(&mut self, now: MonoTime, targets: &[Target], ramp: bool) {
        let before: Vec<bool> = self.slots.iter().map(|s| s.active).collect();
        for slot in &mut self.slots {
            slot.configured = false;
            slot.active = false;
        }
        for t in targets {
            let index = usize::from(self.index_or_add(t.id));
            let slot = &mut self.slots[index];
            slot.configured = true;
            slot.active = t.is_active();
            slot.weight = t.weight.get().into();
            let was_active = before.get(index).copied().unwrap_or(false);
            if slot.active && !was_active {
                slot.ramp_from = ramp.then_some(now);
            }
        }
        self.sum();
    }

    /// Applies a load report; returns whether the target's health changed.
    pub(super) fn report(&mut self, now: MonoTime, report: &TargetReport) -> bool {
        let Some(slot) = self.slots.iter_mut().find(|s| s.id == report.target) else {
            return false;
        };
        let changed = slot.healthy != report.healthy;
        slot.healthy = report.healthy;
        if report.healthy {
            slot.reported_at = Some(now);
            slot.reported = f64::from(report.open_flows) + slot.recent.sum(now);
            if !slot.misreports {
                slot.load = slot.reported;
            }
        }
        self.sum();
        changed
    }

    /// Ejects unhealthy targets up to the share `limit` of the active ones.
    ///
    /// Returns each changed target and whether it is ejected now.
    pub(super) fn eject(&mut self, limit: f64) -> Vec<(TargetId, bool)> {
        let active = self.slots.iter().filter(|s| s.active).count();
        let mut allowed = (active as f64 * limit.clamp(0.0, 1.0)).floor() as usize;
        let mut order: Vec<usize> = (0..self.slots.len()).collect();
        // Targets that are ejected already come first, so that the ejected set does not oscillate.
        order.sort_by_key(|&i| (!self.slots[i].ejected, self.slots[i].id));
        let mut changes = Vec::new();
        for i in order {
            let slot = &mut self.slots[i];
            let eject = slot.active && !slot.healthy && allowed > 0;
            allowed -= usize::from(eject);
            if eject != slot.ejected {
                slot.ejected = eject;
                changes.push((slot.id, eject));
            }
        }
        self.sum();
        changes
    }

    /// Replaces stale and contradicted reports by estimates from the number of known flows.
    pub(super) fn refresh(&mut self, now: MonoTime, known: impl Fn(u16) -> u32) {
        let known = |i: usize| f64::from(known(i as u16));
        let fresh = |s: &TargetSlot| {
            s.reported_at
                .is_some_and(|at| now.since(at) < REPORT_TIMEOUT)
        };
        let pairs = self.slots.iter().enumerate();
        let pairs = pairs.filter(|(_, s)| s.active && fresh(s));
        let check = ReportCheck::new(pairs.map(|(i, s)| (s.reported, known(i))));
        for (i, slot) in self.slots.iter_mut().enumerate() {
            if !fresh(slot) {
                slot.misreports = false;
                slot.load = known(i);
                continue;
            }
            slot.misreports = check.contradicts(slot.reported, known(i));
            if slot.misreports {
                slot.load = check.expected(known(i));
            }
        }
        self.sum();
    }

    /// Counts a placement, scaled by the number of members that place flows at the same rate.
    pub(super) fn place(&mut self, now: MonoTime, index: u16, members: f64) {
        let slot = &mut self.slots[usize::from(index)];
        slot.recent.add(now, members);
        slot.load += members;
        if slot.is_usable() {
            self.usable_load += members;
        }
    }

    /// Returns the load of all usable targets relative to their total weight.
    pub(super) fn mean_ratio(&self) -> f64 {
        self.usable_load / self.usable_weight.max(1.0)
    }

    /// Returns the first usable target at or after `start`, wrapping around.
    pub(super) fn any_usable(&self, start: usize) -> Option<u16> {
        let n = self.slots.len();
        let mut indices = (0..n).map(|i| (start + i) % n);
        indices
            .find(|&i| self.slots[i].is_usable())
            .map(|i| i as u16)
    }

    fn sum(&mut self) {
        let usable = self.slots.iter().filter(|s| s.is_usable());
        self.usable_load = usable.clone().map(|s| s.load).sum();
        self.usable_weight = usable.map(|s| s.weight).sum();
    }
}
