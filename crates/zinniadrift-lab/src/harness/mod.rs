//! Harness that connects several balancers in memory under a virtual clock.

mod delivery;
mod group;
mod member;
mod network;
mod scheduled_arrival;

pub use delivery::{Delivery, Outcome};
pub use group::Group;
pub use member::Member;
pub use network::Network;
