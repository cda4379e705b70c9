//! Polls the load and health endpoints of targets.

mod poll_result;
mod poller;

pub(crate) use poll_result::PollResult;
pub(crate) use poller::poll_targets;
