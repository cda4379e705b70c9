//! Runs the real core under a virtual clock and measures it.

mod experiment;
mod measure_line;
pub mod requests;

pub use experiment::{EXPERIMENTS, Experiment};
pub use measure_line::MeasureLine;
