use super::MeasureLine;

/// The figures of one run, in the order in which they were added.
#[derive(Debug)]
pub(crate) struct Report {
    measure: &'static str,
    policy: Box<str>,
    seed: u64,
    lines: Vec<MeasureLine>,
}

impl Report {
    pub(crate) fn new(measure: &'static str, policy: &str, seed: u64) -> Self {
        Self {
            measure,
            policy: policy.into(),
            seed,
            lines: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, figure: &str, value: f64, unit: &'static str) {
        self.lines.push(MeasureLine {
            measure: self.measure,
            policy: self.policy.clone(),
            seed: self.seed,
            figure: figure.into(),
            value,
            unit,
        });
    }

    pub(crate) fn finish(self) -> Vec<MeasureLine> {
        self.lines
    }
}
