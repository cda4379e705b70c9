use std::net::SocketAddr;

use super::MemberState;
use crate::balancer::RebaseStatus;
use crate::ids::ZoneName;
use crate::units::Version;

/// The periodic message by which a member reports to its peers that it is alive and which state
/// it has.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The member's configured name.
    pub name: Box<str>,
    /// The member's availability zone.
    pub zone: ZoneName,
    /// The UDP address on which the member receives messages.
    pub address: SocketAddr,
    /// The member's life-cycle state.
    pub state: MemberState,
    /// Whether the member has received every publication that it knows of.
    pub synchronised: bool,
    /// The version of the settings in force.
    pub settings_version: Version,
    /// The sequence number of the member's last publication.
    pub last_publication: u64,
    /// A digest of the base sets of all services; equal digests imply equal base tables.
    pub bases_digest: u64,
    /// The services in transition to another base set.
    pub rebases: Vec<RebaseStatus>,
}
