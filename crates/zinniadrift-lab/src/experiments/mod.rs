//! Experiments that run the core under a virtual clock and measure it.

pub mod balance;
pub mod config;
mod cost;
mod experiment;
mod fleet;
pub mod flows;
mod measure_line;
pub mod overload;
mod policies;
mod report;
pub mod requests;
mod run_groups;

pub use experiment::{EXPERIMENTS, Experiment};
pub use fleet::Scale;
pub use measure_line::MeasureLine;
