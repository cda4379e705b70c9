use std::time::Duration;

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::{LoadReport, Mechanisms, Peer, TargetState, ZonePlan};
use crate::ids::{TargetId, ZoneName};
use crate::settings::{Policies, Target};
use crate::units::MonoTime;

/// Chooses among the targets of a service.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    targets: Vec<TargetState>,
    plan: ZonePlan,
    ramp: Duration,
    ejection_limit: f64,
}

impl TargetPool {
    /// Takes over new settings and keeps what is known of targets that stay.
    pub(crate) fn configure(&mut self, now: MonoTime, targets: &[Target], policies: &Policies) {
        let first = self.targets.is_empty();
        let mut old = std::mem::take(&mut self.targets);
        for target in targets {
            let known = old.iter().position(|s| s.target.id == target.id);
            let was_active = known.is_some_and(|i| old[i].target.is_active());
            let mut state = match known {
                Some(i) if was_active || !target.is_active() => old.swap_remove(i),
                _ => TargetState::new(target.clone(), (!first).then_some(now)),
            };
            state.target = target.clone();
            self.targets.push(state);
        }
        self.ramp = Duration::from_secs(policies.flows.ramp_s);
        self.ejection_limit = policies.flows.ejection_limit;
    }

    /// Takes over a new set of live gateways, this one included.
    pub(crate) fn set_gateways(&mut self, own: &ZoneName, gateways: &[Peer]) {
        let targets: Vec<Target> = self.targets.iter().map(|s| s.target.clone()).collect();
        self.plan = ZonePlan::new(own, gateways, &targets);
    }

    pub(crate) fn has_active(&self) -> bool {
        self.targets.iter().any(|s| s.target.is_active())
    }

    pub(crate) fn get_mut(&mut self, id: TargetId) -> Option<&mut TargetState> {
        self.targets.iter_mut().find(|s| s.target.id == id)
    }

    /// Chooses a target for an attempt; `None` if no target is open.
    ///
    /// Targets in `failed` are used only if no other target takes work.
    pub(crate) fn choose(
        &self,
        now: MonoTime,
        failed: &[TargetId],
        on: &Mechanisms,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Option<TargetId> {
        let fresh = |s: &&TargetState| !failed.contains(&s.target.id);
        if !on.slot_limits {
            let all = self.targets.iter().filter(|s| s.takes_work()).filter(fresh);
            return self.pick(now, &all.collect::<Vec<_>>(), on, rng);
        }
        let none_fresh = !self
            .targets
            .iter()
            .filter(fresh)
            .any(TargetState::takes_work);
        let open: Vec<&TargetState> = self
            .targets
            .iter()
            .filter(|s| s.is_open(now) && (none_fresh || fresh(s)))
            .collect();
        let zone = self.plan.pick(rng.random());
        let local: Vec<&TargetState> = open
            .iter()
            .copied()
            .filter(|s| zone == Some(&s.target.zone))
            .collect();
        self.pick(now, if local.is_empty() { &open } else { &local }, on, rng)
    }

    /// Counts a failure and ejects the target if that is due and within the limit.
    pub(crate) fn record_failure(&mut self, now: MonoTime, id: TargetId) -> bool {
        let ejected = self.targets.iter().filter(|s| s.is_ejected()).count();
        let limit = (self.targets.len() as f64 * self.ejection_limit).floor() as usize;
        let Some(state) = self.get_mut(id) else {
            return false;
        };
        let due = state.record_failure() && ejected < limit;
        if due {
            state.eject(now);
        }
        due
    }

    /// Ends one ejection that is over.
    pub(crate) fn restore_one(&mut self, now: MonoTime) -> Option<TargetId> {
        let due = |s: &&mut TargetState| s.ejected_until().is_some_and(|t| t <= now);
        let state = self.targets.iter_mut().find(due)?;
        state.restore();
        Some(state.target.id)
    }

    pub(crate) fn next_restore(&self) -> Option<MonoTime> {
        self.targets
            .iter()
            .filter_map(TargetState::ejected_until)
            .min()
    }

    /// Returns the time from which some target may be open.
    pub(crate) fn next_open(&self) -> Option<MonoTime> {
        self.targets
            .iter()
            .filter(|s| s.takes_work() && s.in_flight < s.target.slots)
            .map(|s| s.avoid_until)
            .min()
    }

    pub(crate) fn record_report(&mut self, now: MonoTime, report: &LoadReport) {
        if let Some(state) = self.get_mut(report.target) {
            state.record_report(now, report);
        }
    }

    fn pick(
        &self,
        now: MonoTime,
        among: &[&TargetState],
        on: &Mechanisms,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Option<TargetId> {
        let first = self.draw(now, among, rng)?;
        if !on.two_choices || among.len() < 2 {
            return Some(first.target.id);
        }
        let second = self.draw(now, among, rng)?;
        let better = if second.is_better(first, now) {
            second
        } else {
            first
        };
        Some(better.target.id)
    }

    fn draw<'a>(
        &self,
        now: MonoTime,
        among: &[&'a TargetState],
        rng: &mut Xoshiro256PlusPlus,
    ) -> Option<&'a TargetState> {
        let weight = |s: &TargetState| s.weight(now, self.ramp);
        let total: f64 = among.iter().map(|s| weight(s)).sum();
        let mut random = rng.random::<f64>() * total;
        for state in among {
            random -= weight(state);
            if random < 0.0 {
                return Some(state);
            }
        }
        among.last().copied()
    }
}
