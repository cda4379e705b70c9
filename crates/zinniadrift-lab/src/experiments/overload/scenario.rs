use std::time::Duration;

use super::{CallerRoute, LONG_FLOWS, SINGLE_REQUESTS};

/// A fault of a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// All balancers are dark for a second and start again without knowledge.
    DarkSecond,
    /// A fifth of the targets dies without a word while another fifth becomes slow.
    DeadAndSlowTargets,
}

/// A load pattern.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// The number of availability zones, over which all of them are spread evenly.
    pub zones: usize,
    /// The number of balancers.
    pub balancers: usize,
    /// The number of targets.
    pub targets: usize,
    /// The number of callers.
    pub callers: usize,
    /// The load outside the burst, as a share of the targets' capacity.
    pub base_load: f64,
    /// The load in the burst, as a share of the targets' capacity.
    pub burst_load: f64,
    /// The length of the burst, which starts after [`Scenario::WARM_UP`].
    pub burst: Duration,
    /// The fault that strikes when the burst starts.
    pub fault: Option<Fault>,
    /// The routes, with their shares of the requests.
    pub routes: &'static [CallerRoute],
    /// The route that all requests of the burst beyond the base load are for; `None` for all routes
    /// by their shares.
    pub burst_route: Option<usize>,
    /// How many times more requests the first caller has than each of the others.
    pub first_caller_factor: f64,
}

impl Scenario {
    /// The time before the burst, in which balancers learn what is usual.
    pub const WARM_UP: Duration = Duration::from_secs(6);
    /// The time after the burst.
    pub const RECOVERY: Duration = Duration::from_secs(4);
    /// The number of requests that a target processes at once.
    pub const SLOTS: u16 = 3;
    /// The number of requests that a target queues beyond its slots.
    pub const QUEUE: usize = 12;
    /// The mean time to process a request.
    pub const MEAN_WORK: Duration = Duration::from_millis(43);

    /// Returns the requests per second that all targets process when they are well.
    pub fn capacity_per_s(&self) -> f64 {
        let slots = self.targets as f64 * f64::from(Self::SLOTS);
        slots / Self::MEAN_WORK.as_secs_f64()
    }

    /// Returns a caller's share of all requests, as a fraction.
    pub(super) fn caller_share(&self, caller: usize) -> (f64, f64) {
        let factor = if caller == 0 {
            self.first_caller_factor
        } else {
            1.0
        };
        (factor, self.callers as f64 - 1.0 + self.first_caller_factor)
    }

    /// Returns the share of the requests of the burst that the targets can process at all.
    pub fn possible_share(&self) -> f64 {
        let well = match self.fault {
            Some(Fault::DeadAndSlowTargets) => 0.6 + 0.2 / Self::SLOWNESS,
            _ => 1.0,
        };
        (well / self.burst_load).min(1.0)
    }

    /// The factor by which slow targets are slower.
    pub const SLOWNESS: f64 = 6.0;
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            zones: 4,
            balancers: 8,
            targets: 16,
            callers: 100,
            base_load: 0.4,
            burst_load: 1.0,
            burst: Duration::from_secs(5),
            fault: None,
            routes: &LONG_FLOWS,
            burst_route: None,
            first_caller_factor: 1.0,
        }
    }
}

/// Returns the scenarios that the experiment measures, with their names.
pub(super) fn standard() -> Vec<(&'static str, Scenario)> {
    let load = |burst_load| Scenario {
        burst_load,
        ..Scenario::default()
    };
    let single = |burst_load| Scenario {
        routes: &SINGLE_REQUESTS,
        ..load(burst_load)
    };
    vec![
        ("load_050", load(0.5)),
        ("load_080", load(0.8)),
        ("load_100", load(1.0)),
        ("load_120", load(1.2)),
        ("load_150", load(1.5)),
        ("load_200", load(2.0)),
        ("load_300", load(3.0)),
        ("single_requests_120", single(1.2)),
        ("single_requests_200", single(2.0)),
        ("single_requests_300", single(3.0)),
        (
            "one_zone_150",
            Scenario {
                zones: 1,
                ..load(1.5)
            },
        ),
        (
            "dark_second",
            Scenario {
                fault: Some(Fault::DarkSecond),
                ..load(0.5)
            },
        ),
        (
            "dead_and_slow",
            Scenario {
                fault: Some(Fault::DeadAndSlowTargets),
                ..load(0.7)
            },
        ),
    ]
}
