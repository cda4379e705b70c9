//! Chooses the target of each flow on one balancer.

mod actions;
mod base_set;
mod counters;
mod events;
mod mechanisms;
mod peer_message;
mod rebase_status;
mod settings;
mod state_machine;
mod target_report;
mod timeline_event;
mod verdict;

pub use actions::BalancerAction;
pub use base_set::BaseSet;
pub use counters::Counters;
pub use events::BalancerEvent;
pub use mechanisms::Mechanisms;
pub use peer_message::{MAX_PEER_DATAGRAM_BYTES, MAX_PINS, PeerMessage};
pub use rebase_status::{RebasePhase, RebaseStatus};
pub use settings::BalancerSettings;
pub use state_machine::Balancer;
pub use target_report::TargetReport;
pub use timeline_event::{SyncLoss, TimelineEvent};
pub use verdict::{DropReason, Verdict};
