use super::{MeasureLine, balance, config, cost, flows, overload, requests};

/// An experiment that the command `measure` runs by name.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// The names of the policies that can be run; the first is `default`, that of the product.
    pub policies: &'static [&'static str],
    /// Checks a policy that is not in the list.
    pub check_policy: fn(policy: &str) -> Result<(), Box<str>>,
    /// Runs one policy with one seed.
    pub run: fn(policy: &str, seed: u64) -> Vec<MeasureLine>,
}

/// Rejects all policies, for experiments that only have named ones.
pub(super) fn only_named(_policy: &str) -> Result<(), Box<str>> {
    Err("unknown".into())
}

/// All experiments.
pub const EXPERIMENTS: &[Experiment] = &[
    flows::EXPERIMENT,
    balance::EXPERIMENT,
    cost::EXPERIMENT,
    config::EXPERIMENT,
    requests::EXPERIMENT,
    overload::EXPERIMENT,
];
