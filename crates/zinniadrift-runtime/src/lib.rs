//! The runtime of the daemons: drives the state machines of [`zinniadrift_core`] with sockets,
//! timers, logs and metrics.

pub mod balancer;
pub mod daemon;
mod distribution;
pub mod gateway;
pub mod geneve;
pub mod metrics;
pub mod peer;
pub mod status;
pub mod steering;
mod targets;
pub mod timeline;
