/// Known flows of a target from which its reports are checked; fewer say little.
const MIN_KNOWN_FLOWS: f64 = 100.0;
/// The share of the expected value below which a report is contradicted. Relying on a target that
/// reports too few flows overloads it.
const LOWEST_SHARE: f64 = 0.75;
/// The multiple of the expected value above which a report is contradicted. It is wide because a
/// new target has no ended flows among the known ones, so its reports look high.
const HIGHEST_MULTIPLE: f64 = 2.5;

/// Compares reported loads with the flows that this member knows.
///
/// Members know ended flows for a while and miss flows that they have not seen yet. Both affect all
/// targets alike, so the median ratio of reported to known flows tells what a report should be.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportCheck {
    median_ratio: Option<f64>,
}

impl ReportCheck {
    /// Returns the check for pairs of reported and known flows, one per target.
    pub(super) fn new(pairs: impl Iterator<Item = (f64, f64)>) -> Self {
        let checked = pairs.filter(|(_, known)| *known >= MIN_KNOWN_FLOWS);
        let mut ratios: Vec<f64> = checked.map(|(reported, known)| reported / known).collect();
        ratios.sort_by(f64::total_cmp);
        // The upper median: with two targets it is the one that does not report too little.
        let median_ratio = ratios.get(ratios.len() / 2).copied();
        Self { median_ratio }
    }

    /// Tells whether a report cannot be right.
    pub(super) fn contradicts(&self, reported: f64, known: f64) -> bool {
        if known < MIN_KNOWN_FLOWS {
            return false;
        }
        let expected = self.expected(known);
        reported < expected * LOWEST_SHARE || reported > expected * HIGHEST_MULTIPLE
    }

    /// Returns the flows that a target with `known` flows should report.
    pub(super) fn expected(&self, known: f64) -> f64 {
        known * self.median_ratio.unwrap_or(1.0)
    }
}
