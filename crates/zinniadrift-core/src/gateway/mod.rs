//! Decides how requests are dispatched to targets.

mod outcome;

pub use outcome::Outcome;
