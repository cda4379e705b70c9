use serde::Serialize;

/// A figure of a run, printed as a JSON line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MeasureLine {
    /// The name of the experiment.
    pub measure: &'static str,
    /// The policy that was run.
    pub policy: Box<str>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The name of the figure.
    pub figure: Box<str>,
    /// The value of the figure, in `unit`.
    pub value: f64,
    /// The unit, such as `flows` or `ms`.
    pub unit: &'static str,
}
