use crate::ids::{MemberId, ZoneName};

/// A live gateway of the user's group, as an input of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The gateway's id.
    pub member: MemberId,
    /// The gateway's availability zone.
    pub zone: ZoneName,
}
