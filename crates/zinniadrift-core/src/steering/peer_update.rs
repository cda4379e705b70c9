use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::Version;

use super::{DirectoryListing, Revision, RouteDelta, TargetChange};

/// Tells what a balancer knows when it asks a peer for news.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownState {
    /// The directory's revision.
    pub targets: Revision,
    /// The store's revision up to which the configuration is known.
    pub routes: Revision,
    /// The configuration's version.
    pub version: Version,
}

/// Is what a peer tells a balancer that asked with its [`KnownState`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerUpdate {
    /// What the asking balancer knew when it asked; the changes apply to that state only.
    #[serde(rename = "asked")]
    pub base: KnownState,
    /// What the peer knows.
    pub known: KnownState,
    /// The time since the store confirmed the peer's directory.
    pub directory_age: Duration,
    /// The time since the store confirmed the peer's configuration.
    pub routes_age: Duration,
    /// What the asking balancer misses of the directory.
    pub targets: DirectoryUpdate,
    /// What it misses of the configuration.
    pub routes: Option<RouteDelta>,
}

/// Is the part of the directory that a balancer misses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DirectoryUpdate {
    /// The changes since the state that it asked with.
    Changes(Vec<TargetChange>),
    /// Everything, because the changes are not known one by one.
    #[serde(rename = "All")]
    Listing(DirectoryListing),
}
