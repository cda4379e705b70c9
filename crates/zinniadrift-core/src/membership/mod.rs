//! The members of a user's group as seen by one member, and that member's life cycle.

mod heartbeat;
mod host;
mod life_cycle;
mod member_state;
mod peer;
mod peers;
mod publication_mark;

pub use heartbeat::Heartbeat;
pub use host::Host;
pub(crate) use life_cycle::{LifeCycle, LifeCycleState};
pub use member_state::MemberState;
pub(crate) use peer::Peer;
pub(crate) use peers::Peers;
pub use publication_mark::PublicationMark;
