//! The poller of the targets' health and load endpoints.

mod poll_result;
mod poller;

pub(crate) use poll_result::PollResult;
pub(crate) use poller::poll_targets;
