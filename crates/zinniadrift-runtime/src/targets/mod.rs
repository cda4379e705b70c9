//! Polls the load and health endpoints of targets.

mod poller;
mod target_state;

pub(crate) use poller::poll_targets;
pub(crate) use target_state::TargetState;
