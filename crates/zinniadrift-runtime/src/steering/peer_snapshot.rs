use std::time::Duration;

use serde::{Deserialize, Serialize};

use zinniadrift_core::steering::{DirectoryListing, Route, RouteTable, Steering};
use zinniadrift_core::units::{MonoTime, Version};

/// Is what a balancer tells a peer that cannot reach the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerSnapshot {
    /// The targets.
    pub listing: DirectoryListing,
    /// The time since the store confirmed the targets.
    pub directory_age: Duration,
    /// The version of the configuration.
    pub version: Version,
    /// The time after which idle flows may be forgotten.
    pub idle_timeout: Duration,
    /// The routes.
    pub routes: Vec<Route>,
    /// The time since the store confirmed the configuration.
    pub routes_age: Duration,
}

impl PeerSnapshot {
    /// Returns what `steering` knows; `None` while it does not know both parts.
    pub fn of(steering: &Steering, now: MonoTime) -> Option<Self> {
        let directory_age = steering.directory_known().age(now)?;
        let routes_age = steering.routes_known().age(now)?;
        let routes = steering.routes();
        Some(Self {
            listing: steering.directory().listing(),
            directory_age,
            version: routes.version(),
            idle_timeout: routes.idle_timeout(),
            routes: routes.iter().cloned().collect(),
            routes_age,
        })
    }

    /// Splits the snapshot into its two parts.
    pub fn into_parts(self) -> (DirectoryListing, RouteTable) {
        let table = RouteTable::new(self.version, self.idle_timeout, self.routes);
        (self.listing, table)
    }
}
