use std::net::SocketAddr;

use zinniadrift_core::distribution::LiveMember;
use zinniadrift_core::ids::MemberId;
use zinniadrift_core::units::Version;

/// An input from the daemon to the distribution, derived from messages of peers.
#[derive(Clone, Debug)]
pub(crate) enum DistributionInput {
    /// A peer announced its settings version.
    PeerVersion {
        /// The peer.
        from: MemberId,
        /// The address for calls to the peer, if the message contained it.
        address: Option<SocketAddr>,
        /// The version that the peer has in force.
        version: Version,
    },
    /// The set of live peers.
    Members(Vec<MemberAddress>),
}

/// A live peer with its address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct MemberAddress {
    /// The peer.
    pub(crate) member: LiveMember,
    /// The peer's address for datagrams and calls.
    pub(crate) address: SocketAddr,
}
