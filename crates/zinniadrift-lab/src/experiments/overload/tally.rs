use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// What callers observed on one route.
#[derive(Clone, Debug)]
pub struct RouteTally {
    /// The requests that callers had.
    pub asked: u64,
    /// The requests answered within the latency target.
    pub in_time: u64,
    /// The requests answered later.
    pub late: u64,
    /// The requests refused on every attempt.
    pub refused: u64,
    /// The requests without an answer until the caller gave up.
    pub unanswered: u64,
    latency_us: Histogram<u64>,
}

/// The upper limit of recorded latencies in microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;
/// The number of significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

impl Default for RouteTally {
    fn default() -> Self {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        Self {
            asked: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            unanswered: 0,
            latency_us: latency_us.expect("the bounds are valid"),
        }
    }
}

impl RouteTally {
    fn share(&self, part: u64) -> f64 {
        part as f64 / self.asked.max(1) as f64
    }

    /// Returns the share of requests answered within the latency target.
    pub fn in_time_share(&self) -> f64 {
        self.share(self.in_time)
    }

    /// Returns the share of requests answered late.
    pub fn late_share(&self) -> f64 {
        self.share(self.late)
    }

    /// Returns the share of refused requests.
    pub fn refused_share(&self) -> f64 {
        self.share(self.refused)
    }

    /// Returns the share of requests without an answer.
    pub fn unanswered_share(&self) -> f64 {
        self.share(self.unanswered)
    }

    /// Returns a quantile of the latency of answered requests in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1e3
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        self.latency_us += &other.latency_us;
    }
}

/// The end of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    Answered { took: Duration, in_time: bool },
    Refused,
    Unanswered,
}

/// What callers observed of the requests that they had during the burst.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    routes: BTreeMap<&'static str, RouteTally>,
    /// The requests asked and answered in time, by the second in which they were asked.
    windows: BTreeMap<u64, (u64, u64)>,
    /// The requests asked and answered in time, by caller.
    callers: BTreeMap<usize, (u64, u64)>,
    /// What balancers did with opening packets.
    pub opens: OpenTally,
}

/// The opening packets that balancers did not forward.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OpenTally {
    /// Those that were refused.
    pub refused: u64,
    /// Those that were refused while a tenth of the slots were free.
    pub refused_with_free_slots: u64,
    /// Those that were left unanswered for want of room.
    pub held: u64,
    /// Those of them that were their caller's last.
    pub held_at_last: u64,
}

impl Tally {
    pub(super) fn record(
        &mut self,
        route: &'static str,
        caller: usize,
        asked_at: Duration,
        ending: Ending,
    ) {
        let tally = self.routes.entry(route).or_default();
        let window = self.windows.entry(asked_at.as_secs()).or_default();
        tally.asked += 1;
        window.0 += 1;
        let caller = self.callers.entry(caller).or_default();
        caller.0 += 1;
        match ending {
            Ending::Answered { took, in_time } => {
                let us = u64::try_from(took.as_micros()).unwrap_or(MAX_LATENCY_US);
                tally.latency_us.saturating_record(us);
                if in_time {
                    tally.in_time += 1;
                    window.1 += 1;
                    caller.1 += 1;
                } else {
                    tally.late += 1;
                }
            }
            Ending::Refused => tally.refused += 1,
            Ending::Unanswered => tally.unanswered += 1,
        }
    }

    /// Returns the figures of each route by its name.
    pub fn routes(&self) -> impl Iterator<Item = (&'static str, &RouteTally)> {
        self.routes.iter().map(|(name, tally)| (*name, tally))
    }

    /// Returns the requests that a caller had, and those answered in time.
    pub fn caller(&self, caller: usize) -> (u64, u64) {
        self.callers.get(&caller).copied().unwrap_or_default()
    }

    /// Returns the figures of all routes together.
    pub fn total(&self) -> RouteTally {
        let mut total = RouteTally::default();
        for tally in self.routes.values() {
            total.add(tally);
        }
        total
    }

    /// Returns the share of requests answered in time in the worst second.
    pub fn worst_window(&self) -> f64 {
        let shares = self.windows.values();
        let shares = shares.map(|(asked, in_time)| *in_time as f64 / (*asked).max(1) as f64);
        shares.fold(1.0, f64::min)
    }
}
