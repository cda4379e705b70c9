use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::Version;

use crate::steering::{
    DirectoryListing, Position, ReporterId, RouteDelta, ShareGrant, TargetChange,
    TargetObservation, ZoneDrainsUpdate, packed,
};

/// The state that a balancer has, which it sends when it requests updates from a peer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownState {
    /// The directory's revision.
    pub targets: Position,
    /// The store's revision up to which the configuration is known.
    pub routes: Position,
    /// The configuration's version.
    pub version: Version,
    /// The store's position up to which the drained zones are known; zero if they are not.
    #[serde(default, skip_serializing_if = "Position::is_zero")]
    pub zones: Position,
}

/// A peer's response to a balancer that sent its [`KnownState`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerUpdate {
    /// The state that the requesting balancer sent; the changes apply to that state only.
    #[serde(rename = "asked")]
    pub base: KnownState,
    /// The peer's state.
    pub known: KnownState,
    /// The time since the store confirmed the peer's directory.
    pub directory_age: Duration,
    /// The time since the store confirmed the peer's configuration.
    pub routes_age: Duration,
    /// The part of the directory that the requesting balancer is missing.
    pub targets: DirectoryUpdate,
    /// The names of the targets that get no new flow because only an older copy of the store lists
    /// them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub doubtful: Vec<Box<str>>,
    /// The part of the configuration that the requesting balancer is missing.
    pub routes: Option<RouteDelta>,
    /// The drained zones; `None` if the peer does not know them, as builds before they existed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<ZoneDrainsUpdate>,
    /// The part of the shared limits that the peer grants; older builds leave it out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<ShareGrant>,
    /// The observations of targets that the requesting balancer is missing.
    #[serde(default, skip_serializing_if = "Vec::is_empty", with = "packed")]
    pub observations: Vec<TargetObservation>,
    /// The process of the peer, to whose table `observations_seq` belongs.
    #[serde(default, skip_serializing_if = "ReporterId::is_none")]
    pub observations_epoch: ReporterId,
    /// The sequence number of the last change in `observations`.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub observations_seq: u64,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde expects"
)]
const fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// The part of the directory that a balancer is missing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DirectoryUpdate {
    /// The changes since the state that it sent.
    Changes(Vec<TargetChange>),
    /// The full list, because the individual changes are not known.
    #[serde(rename = "All")]
    Listing(DirectoryListing),
}
