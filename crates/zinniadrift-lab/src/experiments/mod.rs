//! Runs the real core under a virtual clock and measures it.

pub mod config;
mod experiment;
mod measure_line;

pub use experiment::{EXPERIMENTS, Experiment};
pub use measure_line::MeasureLine;
