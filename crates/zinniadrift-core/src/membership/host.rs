use std::net::SocketAddr;

use crate::ids::{MemberId, ZoneName};

/// A host that may run a member, taken from the platform's list or from the configured seeds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// The member's configured name.
    pub name: Box<str>,
    /// The availability zone that the host is in.
    pub zone: ZoneName,
    /// The UDP address for messages between members.
    pub address: SocketAddr,
}

impl Host {
    /// Returns the id of the member on this host.
    pub fn member_id(&self) -> MemberId {
        MemberId::from_name(&self.name)
    }
}
