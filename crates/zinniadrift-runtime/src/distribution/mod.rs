//! The settings distribution: drives its state machine with the platform and the peers.

mod driver;
mod input;
mod output;

pub(crate) use driver::{DistributionContext, run_distribution};
pub(crate) use input::{DistributionInput, MemberAddress};
pub(crate) use output::DistributionOutput;
