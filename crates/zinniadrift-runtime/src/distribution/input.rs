use std::net::SocketAddr;

use zinniadrift_core::distribution::LiveMember;
use zinniadrift_core::ids::MemberId;
use zinniadrift_core::units::Version;

/// Tells the distribution what the daemon learned from its peers.
#[derive(Clone, Debug)]
pub(crate) enum DistributionInput {
    /// A peer told its version.
    PeerVersion {
        /// The peer.
        from: MemberId,
        /// The address where it answers calls, if the message told it.
        address: Option<SocketAddr>,
        /// The version that it has in force.
        version: Version,
    },
    /// The set of live peers.
    Members(Vec<MemberAddress>),
}

/// Is a live peer and where it answers calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct MemberAddress {
    /// The peer.
    pub(crate) member: LiveMember,
    /// The address for messages and calls.
    pub(crate) address: SocketAddr,
}
