//! Tracks the members of a user's group and this member's life cycle.

mod heartbeat;
mod host;
mod member_state;

pub use heartbeat::Heartbeat;
pub use host::Host;
pub use member_state::MemberState;
