use crate::ids::{Incarnation, MemberId};

/// The point up to which a snapshot contains a member's publications.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublicationMark {
    /// The publishing member.
    pub member: MemberId,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// The number up to which no publication is missing.
    pub number: u64,
}
