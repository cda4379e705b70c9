//! Runs the balancer's state machine on sockets and timers.

mod daemon;

pub use daemon::run_balancer;
