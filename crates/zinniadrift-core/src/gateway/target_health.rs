use std::time::Duration;

use statig::prelude::*;

use crate::units::MonoTime;

/// The number of consecutive failures after which a target is ejected.
const EJECT_AFTER: u32 = 5;
/// The duration of an ejection, per ejection without a success in between.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);
/// The number of ejections after which the duration no longer grows.
const MAX_EJECTIONS: u32 = 6;

/// The health of a target, which is ejected because of consecutive failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetHealth {
    /// The number of ejections without a success in between.
    ejections: u32,
}

/// An input of the health state machine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HealthEvent {
    /// An attempt succeeded.
    Success,
    /// An attempt failed.
    Failure,
    /// The target is ejected at this time, which the service's ejection limit allows.
    Eject(MonoTime),
    /// The ejection ends; a single further failure makes the target due for ejection again.
    Restore,
}

#[state_machine(initial = "State::admitted(0)", state(derive(Clone, Debug)))]
impl TargetHealth {
    #[state]
    fn admitted(&mut self, failures: &mut u32, event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Success => {
                self.ejections = 0;
                *failures = 0;
                Handled
            }
            HealthEvent::Failure => {
                *failures += 1;
                Handled
            }
            HealthEvent::Eject(now) => Transition(State::ejected(self.next_ejection_end(*now))),
            HealthEvent::Restore => Handled,
        }
    }

    #[state]
    fn ejected(&mut self, until: &MonoTime, event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Success => {
                self.ejections = 0;
                Handled
            }
            HealthEvent::Failure => Handled,
            HealthEvent::Eject(now) => {
                let later = self.next_ejection_end(*now).max(*until);
                Transition(State::ejected(later))
            }
            HealthEvent::Restore => Transition(State::admitted(EJECT_AFTER - 1)),
        }
    }

    fn next_ejection_end(&mut self, now: MonoTime) -> MonoTime {
        self.ejections = (self.ejections + 1).min(MAX_EJECTIONS);
        now + BASE_EJECTION_TIME * self.ejections
    }
}

impl State {
    /// Returns whether the target has failed often enough to be ejected.
    pub(crate) fn is_failing(&self) -> bool {
        matches!(self, Self::Admitted { failures } if *failures >= EJECT_AFTER)
    }

    /// Returns the end of the ejection, if the target is ejected.
    pub(crate) fn ejected_until(&self) -> Option<MonoTime> {
        match self {
            Self::Ejected { until } => Some(*until),
            Self::Admitted { .. } => None,
        }
    }
}
