use crate::ids::{MemberId, ZoneName};

/// Is a live gateway of the user's group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its id.
    pub member: MemberId,
    /// Its availability zone.
    pub zone: ZoneName,
}
