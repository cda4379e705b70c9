//! Times, versions and weights.

mod hybrid_clock;
mod hybrid_time;
mod link_rate;
mod mono_time;
mod version;
mod weight;

pub use hybrid_clock::HybridClock;
pub use hybrid_time::HybridTime;
pub use link_rate::LinkRate;
pub use mono_time::MonoTime;
pub use version::Version;
pub use weight::Weight;
