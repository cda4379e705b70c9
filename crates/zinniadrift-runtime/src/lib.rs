//! Runs the core's state machines with sockets, timers, logs and metrics.

pub mod balancer;
pub mod daemon;
pub mod gateway;
pub mod geneve;
pub mod timeline;
