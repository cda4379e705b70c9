//! The gateway daemon: accepts callers' requests over HTTP and forwards them to targets.

mod attempt;
mod attempt_set;
mod claim_client;
mod daemon;
mod driver;
mod gateway_group;
mod headers;
mod http_frontend;
mod peer_exchange;
mod pending_request;
mod response;
mod store_calls;

pub use daemon::run_gateway;
