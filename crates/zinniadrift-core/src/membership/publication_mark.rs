use crate::ids::{Incarnation, MemberId};

/// Tells up to which publication of a member a snapshot is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublicationMark {
    /// The publishing member.
    pub member: MemberId,
    /// The member's run.
    pub incarnation: Incarnation,
    /// The last publication without a gap before it.
    pub number: u64,
}
