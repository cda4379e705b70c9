use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use zinniadrift_core::ids::{MemberId, ZoneName};
use zinniadrift_core::membership::Host;

use super::Role;

/// A daemon of the user's group that a starting daemon contacts when the platform is unavailable.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// The daemon's name.
    pub name: Box<str>,
    /// The role of the daemon.
    pub role: Role,
    /// The availability zone that the daemon is in.
    pub zone: ZoneName,
    /// The address on which the daemon receives messages of the user's other daemons.
    pub address: SocketAddr,
}

impl Seed {
    /// Returns the member id of the daemon.
    pub fn member_id(&self) -> MemberId {
        MemberId::from_name(&self.name)
    }

    /// Returns the daemon as a host of the membership.
    pub fn host(&self) -> Host {
        Host {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address: self.address,
        }
    }
}
