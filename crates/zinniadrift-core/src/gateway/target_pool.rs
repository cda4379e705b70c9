use std::time::Duration;

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::{LoadReport, Mechanisms, Peer, TargetRecord, ZoneShares};
use crate::ids::{TargetId, ZoneName};
use crate::settings::{Policies, Target};
use crate::units::MonoTime;

/// The targets of a service, among which attempts are distributed.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    targets: Vec<TargetRecord>,
    zone_shares: ZoneShares,
    ramp: Duration,
    ejection_limit: f64,
}

impl TargetPool {
    /// Applies new settings and keeps the state of targets that remain.
    pub(crate) fn configure(&mut self, now: MonoTime, targets: &[Target], policies: &Policies) {
        let first = self.targets.is_empty();
        let mut old = std::mem::take(&mut self.targets);
        for target in targets {
            let known = old.iter().position(|s| s.target.id == target.id);
            let was_active = known.is_some_and(|i| old[i].target.is_active());
            let mut state = match known {
                Some(i) if was_active || !target.is_active() => old.swap_remove(i),
                _ => TargetRecord::new(target.clone(), (!first).then_some(now)),
            };
            state.target = target.clone();
            self.targets.push(state);
        }
        self.ramp = Duration::from_secs(policies.flows.ramp_s);
        self.ejection_limit = policies.flows.ejection_limit;
    }

    /// Replaces the set of live gateways, which includes this one.
    pub(crate) fn set_gateways(&mut self, own: &ZoneName, gateways: &[Peer]) {
        let targets: Vec<Target> = self.targets.iter().map(|s| s.target.clone()).collect();
        self.zone_shares = ZoneShares::new(own, gateways, &targets);
    }

    pub(crate) fn has_active(&self) -> bool {
        self.targets.iter().any(|s| s.target.is_active())
    }

    /// Returns the number of targets other than `excluded` that can take an attempt now.
    pub(crate) fn count_available(&self, now: MonoTime, excluded: TargetId) -> usize {
        let others = self.targets.iter().filter(|s| s.target.id != excluded);
        others.filter(|s| s.is_available(now)).count()
    }

    pub(crate) fn get_mut(&mut self, id: TargetId) -> Option<&mut TargetRecord> {
        self.targets.iter_mut().find(|s| s.target.id == id)
    }

    /// Chooses a target for an attempt; `None` if no target can take one now.
    ///
    /// Targets in `failed` are used only if no other target is active and not ejected.
    pub(crate) fn choose(
        &self,
        now: MonoTime,
        failed: &[TargetId],
        mechanisms: &Mechanisms,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Option<TargetId> {
        let untried = |s: &&TargetRecord| !failed.contains(&s.target.id);
        if !mechanisms.slot_limits {
            let all = self
                .targets
                .iter()
                .filter(|s| s.is_eligible())
                .filter(untried);
            return self.choose_among(now, &all.collect::<Vec<_>>(), mechanisms, rng);
        }
        let none_untried = !self
            .targets
            .iter()
            .filter(untried)
            .any(TargetRecord::is_eligible);
        let available: Vec<&TargetRecord> = self
            .targets
            .iter()
            .filter(|s| s.is_available(now) && (none_untried || untried(s)))
            .collect();
        let zone = self.zone_shares.pick(rng.random());
        let local: Vec<&TargetRecord> = available
            .iter()
            .copied()
            .filter(|s| zone == Some(&s.target.zone))
            .collect();
        self.choose_among(
            now,
            if local.is_empty() { &available } else { &local },
            mechanisms,
            rng,
        )
    }

    /// Records a failure and returns whether the target was ejected. A target that is due for
    /// ejection is ejected only within the service's ejection limit.
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

    /// Ends one ejection whose time is over and returns its target.
    pub(crate) fn restore_one(&mut self, now: MonoTime) -> Option<TargetId> {
        let due = |s: &&mut TargetRecord| s.ejected_until().is_some_and(|t| t <= now);
        let state = self.targets.iter_mut().find(due)?;
        state.restore();
        Some(state.target.id)
    }

    pub(crate) fn next_restore(&self) -> Option<MonoTime> {
        self.targets
            .iter()
            .filter_map(TargetRecord::ejected_until)
            .min()
    }

    /// Returns the earliest time at which a target with a free slot is no longer avoided.
    pub(crate) fn next_available(&self) -> Option<MonoTime> {
        self.targets
            .iter()
            .filter(|s| s.is_eligible() && s.in_flight < s.target.slots)
            .map(|s| s.avoid_until)
            .min()
    }

    pub(crate) fn record_report(&mut self, now: MonoTime, report: &LoadReport) {
        if let Some(state) = self.get_mut(report.target) {
            state.record_report(now, report);
        }
    }

    fn choose_among(
        &self,
        now: MonoTime,
        among: &[&TargetRecord],
        mechanisms: &Mechanisms,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Option<TargetId> {
        let first = self.draw_weighted(now, among, rng)?;
        if !mechanisms.two_choices || among.len() < 2 {
            return Some(first.target.id);
        }
        let second = self.draw_weighted(now, among, rng)?;
        let better = if second.is_better(first, now) {
            second
        } else {
            first
        };
        Some(better.target.id)
    }

    fn draw_weighted<'a>(
        &self,
        now: MonoTime,
        among: &[&'a TargetRecord],
        rng: &mut Xoshiro256PlusPlus,
    ) -> Option<&'a TargetRecord> {
        let weight = |s: &TargetRecord| s.weight(now, self.ramp);
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
