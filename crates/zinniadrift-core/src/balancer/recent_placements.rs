use crate::units::MonoTime;

/// The assumed age of the load in a report, in seconds; later placements are added to the report.
///
/// With a fresher report the added placements count twice. This raises the load of all targets
/// alike, so comparisons between them change little.
const REPORT_LAG_S: usize = 10;

/// The placements on one target during the last [`REPORT_LAG_S`] seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentPlacements {
    per_second: [f64; REPORT_LAG_S],
    second: u64,
}

impl RecentPlacements {
    /// Counts `n` placements.
    pub(super) fn add(&mut self, now: MonoTime, n: f64) {
        self.advance(now);
        self.per_second[ring_index(self.second)] += n;
    }

    /// Returns the placements that a report does not contain yet.
    pub(super) fn sum(&mut self, now: MonoTime) -> f64 {
        self.advance(now);
        self.per_second.iter().sum()
    }

    fn advance(&mut self, now: MonoTime) {
        let second = now.as_micros() / 1_000_000;
        let passed = second.saturating_sub(self.second);
        for i in 0..passed.min(REPORT_LAG_S as u64) {
            self.per_second[ring_index(second - i)] = 0.0;
        }
        self.second = second.max(self.second);
    }
}

const fn ring_index(second: u64) -> usize {
    (second % REPORT_LAG_S as u64) as usize
}
