use crate::ids::{MemberId, ZoneName};

/// A live gateway of the user's group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The gateway's id.
    pub member: MemberId,
    /// The gateway's availability zone.
    pub zone: ZoneName,
}
