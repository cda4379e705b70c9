//! Provides test doubles of everything around zinniadrift, and experiments with its core.

pub mod doubles;
pub mod experiments;
pub mod harness;
pub mod report;
