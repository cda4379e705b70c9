//! Test doubles of the platform, the targets, the fabric and the callers.

mod caller;
mod platform;
mod run_log;
mod target;
mod target_behavior;
mod target_flows;
mod target_requests;

pub use caller::{Caller, CallerSettings, FlowReport, run_flows};
pub use platform::serve_platform;
pub use run_log::{RunCounts, RunGuard, RunLog};
pub use target::{TargetSettings, serve_target};
pub use target_behavior::TargetBehavior;
