//! Runs the settings distribution's state machine against the platform and peers.

mod driver;
mod input;
mod output;

pub(crate) use driver::{DistributionContext, run_distribution};
pub(crate) use input::{DistributionInput, MemberAddress};
pub(crate) use output::DistributionOutput;
