//! Chooses the target of each flow on one balancer.

mod actions;
mod events;
mod peer_message;
mod settings;
mod state_machine;
mod verdict;

pub use actions::BalancerAction;
pub use events::BalancerEvent;
pub use peer_message::PeerMessage;
pub use settings::BalancerSettings;
pub use state_machine::Balancer;
pub use verdict::{DropReason, Verdict};
