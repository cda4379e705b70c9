//! Reads and writes the daemons' status objects in the platform.

mod daemon_status;
mod status_poller;

pub use daemon_status::DaemonStatus;
pub(crate) use status_poller::poll_statuses;
