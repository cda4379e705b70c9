//! The daemons' status objects in the platform's store.

mod daemon_status;
mod status_poller;

pub use daemon_status::DaemonStatus;
pub(crate) use status_poller::poll_statuses;
