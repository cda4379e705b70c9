//! Reads and writes the daemons' status objects in the platform.

mod daemon_status;
mod status_list;

pub use daemon_status::DaemonStatus;
pub(crate) use status_list::watch_statuses;
