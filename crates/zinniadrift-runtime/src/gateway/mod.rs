//! Serves requests over HTTP.

mod daemon;

pub use daemon::run_gateway;
