use std::time::Duration;

use statig::prelude::*;

use super::LoadReport;
use super::target_health::{HealthEvent, TargetHealth};
use crate::settings::Target;
use crate::units::MonoTime;

/// The state of a target as observed by this gateway.
#[derive(Clone, derive_more::Debug)]
pub(crate) struct TargetRecord {
    /// The target's settings.
    pub(crate) target: Target,
    /// This gateway's attempts in progress at the target.
    pub(crate) in_flight: u16,
    /// The time until which the target gets no requests because it was full or refused one.
    pub(crate) avoid_until: MonoTime,
    latency: Option<Duration>,
    reported: Option<(f64, MonoTime)>,
    added_at: Option<MonoTime>,
    #[debug("{:?}", health.state())]
    health: StateMachine<TargetHealth>,
}

/// The share of its full weight with which a new target starts; it needs some requests to warm up.
const INITIAL_RAMP_SHARE: f64 = 0.1;
/// The age at which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(30);
/// The weight of the newest latency in the moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// The weight of the newest load report in the moving average.
const REPORT_EWMA_WEIGHT: f64 = 0.3;

impl TargetRecord {
    /// Returns the state of a target that was added at `added_at`; with `None`, the target need not
    /// ramp up.
    pub(crate) fn new(target: Target, added_at: Option<MonoTime>) -> Self {
        Self {
            target,
            in_flight: 0,
            avoid_until: MonoTime::default(),
            latency: None,
            reported: None,
            added_at,
            health: TargetHealth::default().state_machine(),
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until().is_some()
    }

    /// Returns whether this gateway may send another attempt to the target now.
    pub(crate) fn is_available(&self, now: MonoTime) -> bool {
        self.is_eligible() && now >= self.avoid_until && self.in_flight < self.target.slots
    }

    /// Returns whether the target is active and not ejected.
    pub(crate) fn is_eligible(&self) -> bool {
        self.target.is_active() && !self.is_ejected()
    }

    /// Returns the weight in random choices, which is reduced while the target ramps up.
    pub(crate) fn weight(&self, now: MonoTime, ramp: Duration) -> f64 {
        let full_weight = f64::from(self.target.weight.get()) * f64::from(self.target.slots);
        let Some(added_at) = self.added_at else {
            return full_weight;
        };
        let share = now.since(added_at).as_secs_f64() / ramp.as_secs_f64().max(0.001);
        full_weight * share.clamp(INITIAL_RAMP_SHARE, 1.0)
    }

    /// Returns whether this target is a better choice than `other`.
    ///
    /// The share of slots that this gateway's attempts use decides first, then a latency difference
    /// that exceeds random variation, then the reported loads.
    pub(crate) fn is_better(&self, other: &Self, now: MonoTime) -> bool {
        const MIN_LATENCY_RATIO: f64 = 2.0;
        const MIN_REPORT_GAP: f64 = 0.5;
        let (a, b) = (self.in_flight_load(), other.in_flight_load());
        if (a - b).abs() > f64::EPSILON {
            return a < b;
        }
        if let (Some(x), Some(y)) = (self.latency, other.latency) {
            if y.as_secs_f64() > MIN_LATENCY_RATIO * x.as_secs_f64() {
                return true;
            }
            if x.as_secs_f64() > MIN_LATENCY_RATIO * y.as_secs_f64() {
                return false;
            }
        }
        match (self.reported_load(now), other.reported_load(now)) {
            (Some(x), Some(y)) => x + MIN_REPORT_GAP < y,
            _ => false,
        }
    }

    pub(crate) fn record_success(&mut self, latency: Duration) {
        self.health.handle(&HealthEvent::Success);
        self.latency = Some(match self.latency {
            Some(old) => {
                old.mul_f64(1.0 - LATENCY_EWMA_WEIGHT) + latency.mul_f64(LATENCY_EWMA_WEIGHT)
            }
            None => latency,
        });
    }

    /// Records a failure and returns whether the target is due for ejection.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.health.handle(&HealthEvent::Failure);
        self.health.state().is_failing()
    }

    pub(crate) fn eject(&mut self, now: MonoTime) {
        self.health.handle(&HealthEvent::Eject(now));
    }

    pub(crate) fn ejected_until(&self) -> Option<MonoTime> {
        self.health.state().ejected_until()
    }

    /// Ends the ejection; a single further failure makes the target due for ejection again.
    pub(crate) fn restore(&mut self) {
        self.health.handle(&HealthEvent::Restore);
    }

    pub(crate) fn record_report(&mut self, now: MonoTime, report: &LoadReport) {
        let load = f64::from(report.busy) / f64::from(self.target.slots);
        let load = match self.reported {
            Some((old, _)) => old * (1.0 - REPORT_EWMA_WEIGHT) + load * REPORT_EWMA_WEIGHT,
            None => load,
        };
        self.reported = Some((load, now - report.age));
    }

    fn in_flight_load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.target.slots)
    }

    fn reported_load(&self, now: MonoTime) -> Option<f64> {
        let (load, at) = self.reported?;
        (now.since(at) < MAX_REPORT_AGE).then_some(load)
    }
}
