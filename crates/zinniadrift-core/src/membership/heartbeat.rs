use std::net::SocketAddr;

use super::MemberState;
use crate::balancer::RebaseStatus;
use crate::ids::ZoneName;
use crate::units::Version;

/// Tells peers that a member is alive and what it holds.
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
    /// Whether the member holds every publication that it knows of.
    pub synchronised: bool,
    /// The version of the settings in force.
    pub settings_version: Version,
    /// The number of the member's last publication.
    pub last_publication: u64,
    /// A digest over the base sets of all services; equal digests mean equal base tables.
    pub bases_digest: u64,
    /// The services in transition to another base set.
    pub rebases: Vec<RebaseStatus>,
}
