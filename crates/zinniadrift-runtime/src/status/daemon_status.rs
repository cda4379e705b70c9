use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use zinniadrift_core::ids::{Incarnation, MemberId, ZoneName};
use zinniadrift_core::membership::Host;
use zinniadrift_core::units::Version;

use crate::daemon::Role;

/// Is the platform object `status/<user>/<daemon>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonStatus {
    /// The daemon's name.
    pub name: Box<str>,
    /// What the daemon does.
    pub role: Role,
    /// The availability zone that the daemon is in.
    pub zone: ZoneName,
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// The address for messages of the user's other daemons.
    pub address: SocketAddr,
    /// The daemon's life-cycle state.
    pub state: Box<str>,
    /// The version of the settings in force.
    pub version: Version,
}

impl DaemonStatus {
    /// Returns the daemon's id.
    pub fn member(&self) -> MemberId {
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
