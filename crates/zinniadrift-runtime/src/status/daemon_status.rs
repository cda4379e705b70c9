use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use zinniadrift_core::ids::{Incarnation, MemberId, ZoneName};
use zinniadrift_core::membership::Host;
use zinniadrift_core::units::Version;

use crate::daemon::Role;

/// The status object of a daemon, stored in the platform as `status/<user>/<daemon>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonStatus {
    /// The daemon's name.
    pub name: Box<str>,
    /// The daemon's role.
    pub role: Role,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The incarnation of the daemon's current run.
    pub incarnation: Incarnation,
    /// The address for datagrams and calls of the user's other daemons.
    pub address: SocketAddr,
    /// The daemon's life-cycle state.
    pub state: Box<str>,
    /// The version of the settings in force.
    pub version: Version,
}

impl DaemonStatus {
    /// Returns the daemon's member id.
    pub fn member(&self) -> MemberId {
        MemberId::from_name(&self.name)
    }

    /// Returns the daemon as a host for the membership.
    pub fn host(&self) -> Host {
        Host {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address: self.address,
        }
    }
}
