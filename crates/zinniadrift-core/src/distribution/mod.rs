//! Settings distribution: how a daemon obtains new settings and when it puts them in force.

mod actions;
mod call_budget;
mod candidate;
mod counters;
mod events;
mod pulls;
mod settings;
mod state_machine;
mod watchers;

pub use actions::DistributionAction;
pub use counters::DistributionCounters;
pub use events::{DistributionEvent, LiveMember, PlatformFailure};
pub use settings::DistributionSettings;
pub use state_machine::Distribution;
pub use watchers::select_watchers;
