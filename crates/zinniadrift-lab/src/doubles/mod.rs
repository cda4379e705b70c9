//! Stands in for the platform, the targets, the fabric and the callers.

mod caller;
mod platform;
mod target;

pub use caller::{CallerSettings, FlowReport, run_flows};
pub use platform::serve_platform;
pub use target::{TargetSettings, serve_target};
