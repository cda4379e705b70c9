use std::time::Duration;

use super::LoadReport;
use crate::settings::Target;
use crate::units::MonoTime;

/// Is what a gateway has observed of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    /// The target's settings.
    pub(crate) target: Target,
    /// Own attempts in progress.
    pub(crate) in_flight: u16,
    /// The time until which the target gets no work because it was full or refused.
    pub(crate) avoid_until: MonoTime,
    latency: Option<Duration>,
    reported: Option<(f64, MonoTime)>,
    added: Option<MonoTime>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<MonoTime>,
}

/// Consecutive failures after which a target is ejected.
const EJECT_AFTER: u32 = 5;
const EJECTION_TIME: Duration = Duration::from_secs(5);
/// Ejections after which the ejection time no longer grows.
const MAX_EJECTIONS: u32 = 6;
/// The share of work that a new target gets at once; it must get some to warm up.
const RAMP_START: f64 = 0.1;
/// The age at which a report says nothing any more.
const REPORT_AGE: Duration = Duration::from_secs(30);
const LATENCY_WEIGHT: f64 = 0.1;
const REPORT_WEIGHT: f64 = 0.3;

impl TargetState {
    /// Returns the state of a target that appeared at `added`; `None` if it need not ramp up.
    pub(crate) fn new(target: Target, added: Option<MonoTime>) -> Self {
        Self {
            target,
            in_flight: 0,
            avoid_until: MonoTime::default(),
            latency: None,
            reported: None,
            added,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Tells whether the target may get another attempt of this gateway now.
    pub(crate) fn is_open(&self, now: MonoTime) -> bool {
        self.takes_work() && now >= self.avoid_until && self.in_flight < self.target.slots
    }

    /// Tells whether the target gets work at all.
    pub(crate) fn takes_work(&self) -> bool {
        self.target.is_active() && !self.is_ejected()
    }

    /// Returns the weight for a random choice, lowered while the target ramps up.
    pub(crate) fn weight(&self, now: MonoTime, ramp: Duration) -> f64 {
        let full = f64::from(self.target.weight.get()) * f64::from(self.target.slots);
        let Some(added) = self.added else {
            return full;
        };
        let share = now.since(added).as_secs_f64() / ramp.as_secs_f64().max(0.001);
        full * share.clamp(RAMP_START, 1.0)
    }

    /// Tells whether this target is a better choice than `other`.
    ///
    /// Own attempts decide first, then a latency that differs by more than chance makes likely,
    /// then reports.
    pub(crate) fn is_better(&self, other: &Self, now: MonoTime) -> bool {
        const LATENCY_RATIO: f64 = 2.0;
        const REPORT_GAP: f64 = 0.5;
        let (a, b) = (self.own_load(), other.own_load());
        if (a - b).abs() > f64::EPSILON {
            return a < b;
        }
        if let (Some(x), Some(y)) = (self.latency, other.latency) {
            if y.as_secs_f64() > LATENCY_RATIO * x.as_secs_f64() {
                return true;
            }
            if x.as_secs_f64() > LATENCY_RATIO * y.as_secs_f64() {
                return false;
            }
        }
        match (self.reported_load(now), other.reported_load(now)) {
            (Some(x), Some(y)) => x + REPORT_GAP < y,
            _ => false,
        }
    }

    pub(crate) fn record_success(&mut self, latency: Duration) {
        self.failures = 0;
        self.ejections = 0;
        self.latency = Some(match self.latency {
            Some(old) => old.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT),
            None => latency,
        });
    }

    /// Counts a failure and tells whether the target should be ejected.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= EJECT_AFTER && !self.is_ejected()
    }

    pub(crate) fn eject(&mut self, now: MonoTime) {
        self.ejections = (self.ejections + 1).min(MAX_EJECTIONS);
        self.ejected_until = Some(now + EJECTION_TIME * self.ejections);
    }

    pub(crate) fn ejected_until(&self) -> Option<MonoTime> {
        self.ejected_until
    }

    /// Ends the ejection; one more failure ejects the target again.
    pub(crate) fn restore(&mut self) {
        self.ejected_until = None;
        self.failures = EJECT_AFTER - 1;
    }

    pub(crate) fn record_report(&mut self, now: MonoTime, report: &LoadReport) {
        let load = f64::from(report.busy) / f64::from(self.target.slots);
        let load = match self.reported {
            Some((old, _)) => old * (1.0 - REPORT_WEIGHT) + load * REPORT_WEIGHT,
            None => load,
        };
        self.reported = Some((load, now - report.age));
    }

    fn own_load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.target.slots)
    }

    fn reported_load(&self, now: MonoTime) -> Option<f64> {
        let (load, at) = self.reported?;
        (now.since(at) < REPORT_AGE).then_some(load)
    }
}
