use std::time::Duration;

use hashbrown::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::ServiceId;
use crate::units::MonoTime;

use crate::steering::capacity::own_points::OwnPoints;
use crate::steering::directory::target_directory::TargetIndex;
use crate::steering::targets::target_record::TargetRecord;
use crate::steering::{FlowRate, Steering, WarmUpLimitSettings};

/// The permits for new flows at targets that warm up, and the points that this balancer holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUpLimits {
    points: OwnPoints,
    targets: HashMap<TargetIndex, TargetPermits>,
}

/// The permits of a target, those of other balancers included.
#[derive(Clone, Debug)]
struct TargetPermits {
    rate: PermitRate,
    /// In ascending order of the points.
    permits: Vec<Permit>,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    point: u32,
    next_use: MonoTime,
}

/// The number of a target's permits and the time between two uses of one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PermitRate {
    count: u32,
    spacing: Duration,
}

/// The maximum number of permits of a target; more would make each of them rarer than once a second
/// only for limits that no target has.
const MAX_PERMITS: f64 = 10_000.0;
/// The time for which a target that has warmed up by its last entry still counts as cold. The limit
/// holds while its entry says so, and targets write their entry at least every 1.2 s.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// The time up to which later requests of open flows delay the next use of a permit.
const MAX_DEBT: Duration = Duration::from_secs(1);

impl PermitRate {
    fn new(rate: FlowRate, cfg: &WarmUpLimitSettings) -> Self {
        let rate = rate.per_second();
        let headroom = (f64::from(cfg.overshoot) - 1.0) * rate + f64::from(cfg.slack);
        let max = rate.ceil().clamp(1.0, MAX_PERMITS);
        let count = headroom.floor().clamp(1.0, max);
        // Rounded up, so that a permit never comes early.
        let micros = (count / rate * 1e6).ceil();
        Self {
            count: count as u32,
            spacing: Duration::from_micros(micros as u64),
        }
    }
}

impl TargetPermits {
    fn new(name: &str, rate: PermitRate) -> Self {
        let permit = |n: u32| Permit {
            point: (xxh3_64_with_seed(name.as_bytes(), n.into()) >> 32) as u32,
            next_use: MonoTime::default(),
        };
        let mut permits: Vec<Permit> = (0..rate.count).map(permit).collect();
        permits.sort_unstable_by_key(|p| p.point);
        Self { rate, permits }
    }

    /// Returns the permits of a new rate, which wait until those of the old one are used up.
    fn replaced_by(&self, mut new: Self, now: MonoTime) -> Self {
        let last = self.permits.iter().map(|p| p.next_use).max();
        let next_use = last.unwrap_or_default().max(now + self.rate.spacing);
        new.permits.iter_mut().for_each(|p| p.next_use = next_use);
        new
    }

    /// Returns the positions of the permits whose points this balancer holds, each with the
    /// earliest time of its next use.
    fn held<'a>(&'a self, points: &'a OwnPoints) -> impl Iterator<Item = (usize, MonoTime)> + 'a {
        let range = points.share().map_or(0..0, |share| {
            let start = self.permits.partition_point(|p| p.point < share.start());
            let end = self.permits.partition_point(|p| p.point <= share.last());
            start..end
        });
        range.filter_map(|position| {
            let permit = self.permits.get(position)?;
            let gained = points.held_since(permit.point)? + self.rate.spacing;
            Some((position, permit.next_use.max(gained)))
        })
    }

    /// Returns the permit that can be used first, and when.
    fn first(&self, points: &OwnPoints) -> Option<(usize, MonoTime)> {
        self.held(points).min_by_key(|(_, at)| *at)
    }

    /// Uses the permit that can be used first, now or later.
    fn use_first(&mut self, now: MonoTime, points: &OwnPoints) {
        let Some((position, at)) = self.first(points) else {
            return;
        };
        let spacing = self.rate.spacing;
        let latest = now + spacing.max(MAX_DEBT);
        if let Some(permit) = self.permits.get_mut(position) {
            // A use is never forgotten, only the debt is limited.
            permit.next_use = (at.max(now) + spacing).min(latest).max(permit.next_use);
        }
    }
}

impl WarmUpLimits {
    pub(in crate::steering) fn points_mut(&mut self) -> &mut OwnPoints {
        &mut self.points
    }

    /// Returns the number of targets whose permits are known.
    pub(in crate::steering) fn len(&self) -> usize {
        self.targets.len()
    }
}

impl Steering {
    /// Prepares the permits of a service's targets that warm up and have a limit; returns whether
    /// there are any.
    pub(in crate::steering) fn prepare_warm_up(
        &mut self,
        now: MonoTime,
        service: ServiceId,
    ) -> bool {
        let cfg = self.cfg.warm_up_limit;
        let Some(limit) = self.routes.warm_up_limit(service).filter(|_| cfg.enabled) else {
            return false;
        };
        let rate = PermitRate::new(limit.rate, &cfg);
        let mut is_any_limited = false;
        for &index in self.directory.of_service(service) {
            let record = self.directory.get(index);
            let Some(record) = record.filter(|r| self.is_limited(now, r)) else {
                continue;
            };
            is_any_limited = true;
            let new = || TargetPermits::new(&record.instance.name, rate);
            let permits = self.warm_up_limits.targets.entry(index).or_insert_with(new);
            if permits.rate != rate {
                *permits = permits.replaced_by(new(), now);
            }
        }
        if is_any_limited {
            self.refresh_own_points(now);
        }
        is_any_limited
    }

    /// Returns whether the number of new flows at the target is limited because it warms up.
    pub(in crate::steering) fn is_limited(&self, now: MonoTime, record: &TargetRecord) -> bool {
        if !self.cfg.warm_up_limit.enabled {
            return false;
        }
        let instance = &record.instance;
        let Some(limit) = self.routes.warm_up_limit(instance.service) else {
            return false;
        };
        if instance.is_warm_up_unknown {
            let started = record.start_seen_at;
            return started.is_some_and(|at| now < at + limit.duration);
        }
        instance.warm_up > Duration::ZERO && now < record.warm_up_end + ENTRY_INTERVAL
    }

    /// Returns whether the target warms up and this balancer may place no flow there now.
    pub(in crate::steering) fn lacks_permit(
        &self,
        now: MonoTime,
        index: TargetIndex,
        record: &TargetRecord,
    ) -> bool {
        if !self.is_limited(now, record) {
            return false;
        }
        let limits = &self.warm_up_limits;
        let permits = limits.targets.get(&index);
        let first = permits.and_then(|p| p.first(&limits.points));
        first.is_none_or(|(_, at)| now < at)
    }

    /// Uses a permit for a request at the target, if it warms up: for the opening packet of a flow
    /// that is placed there, or for a later request of a flow.
    pub(in crate::steering) fn use_permit(&mut self, now: MonoTime, index: TargetIndex) -> bool {
        let record = self.directory.get(index);
        if !record.is_some_and(|r| self.is_limited(now, r)) {
            return false;
        }
        let limits = &mut self.warm_up_limits;
        if let Some(permits) = limits.targets.get_mut(&index) {
            permits.use_first(now, &limits.points);
        }
        true
    }

    /// Forgets the permits of targets that have warmed up or ended, once their last uses no longer
    /// matter.
    pub(in crate::steering) fn sweep_warm_up(&mut self, now: MonoTime) {
        let mut targets = std::mem::take(&mut self.warm_up_limits.targets);
        targets.retain(|index, permits| {
            let record = self.directory.get(*index);
            record.is_some_and(|r| self.is_limited(now, r))
                || permits.permits.iter().any(|p| now < p.next_use)
        });
        self.warm_up_limits.targets = targets;
        self.refresh_own_points(now);
    }

    /// Returns the number of targets with a limit of new flows because they warm up.
    pub fn limited_targets(&self) -> usize {
        self.warm_up_limits.len()
    }
}
