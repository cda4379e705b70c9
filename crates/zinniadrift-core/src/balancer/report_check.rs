/// The number of known flows from which the reports of a target are checked; the ratio of smaller
/// numbers is too noisy.
const MIN_KNOWN_FLOWS: f64 = 100.0;
/// The share of the expected value below which a report is implausible. Trusting a target that
/// reports too few flows would overload it.
const MIN_EXPECTED_SHARE: f64 = 0.75;
/// The multiple of the expected value above which a report is implausible. It is large because the
/// known flows of a new target include no ended ones yet, so its reports look high.
const MAX_EXPECTED_MULTIPLE: f64 = 2.5;

/// A plausibility check of reported loads against the flows that this member knows.
///
/// A member keeps ended flows for a while and lacks flows of which it has received no packet. Both
/// affect all targets alike, so the median ratio of reported to known flows gives the value that a
/// report should have.
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
        // The upper median: of two targets it selects the one that does not report too few flows.
        let median_ratio = ratios.get(ratios.len() / 2).copied();
        Self { median_ratio }
    }

    /// Returns whether a report is implausible.
    pub(super) fn is_implausible(&self, reported: f64, known: f64) -> bool {
        if known < MIN_KNOWN_FLOWS {
            return false;
        }
        let expected = self.expected(known);
        reported < expected * MIN_EXPECTED_SHARE || reported > expected * MAX_EXPECTED_MULTIPLE
    }

    /// Returns the number of flows that a target with `known` flows should report.
    pub(super) fn expected(&self, known: f64) -> f64 {
        known * self.median_ratio.unwrap_or(1.0)
    }
}
