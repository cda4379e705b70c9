use super::{MeasureLine, balance, config, cost, flows, requests};

/// Is an experiment that `measure` can run by name.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// The policies that can be run; the first is the chosen one, `default`.
    pub policies: &'static [&'static str],
    /// Runs one policy on one seed.
    pub run: fn(policy: &str, seed: u64) -> Vec<MeasureLine>,
}

/// Lists all experiments.
pub const EXPERIMENTS: &[Experiment] = &[
    flows::EXPERIMENT,
    balance::EXPERIMENT,
    cost::EXPERIMENT,
    config::EXPERIMENT,
    requests::EXPERIMENT,
];
