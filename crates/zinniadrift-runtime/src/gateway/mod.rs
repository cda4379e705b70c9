//! The gateway daemon: accepts callers' requests over HTTP and forwards them to targets.

mod answer;
mod attempt;
mod attempts;
mod claim_calls;
mod daemon;
mod driver;
mod front;
mod group;
mod headers;
mod peers;
mod pending;
mod store_calls;

pub use daemon::run_gateway;
