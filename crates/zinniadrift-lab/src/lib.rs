//! Test doubles of zinniadrift's environment, and experiments with its core.

pub mod doubles;
pub mod experiments;
pub mod harness;
pub mod report;
