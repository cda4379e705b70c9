//! Measures time, versions and weights.

mod mono_time;
mod version;
mod weight;

pub use mono_time::MonoTime;
pub use version::Version;
pub use weight::Weight;
