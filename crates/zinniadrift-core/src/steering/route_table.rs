use std::net::SocketAddrV4;
use std::time::Duration;

use hashbrown::HashMap;

use crate::units::Version;

use super::Route;

/// Holds the routes of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Version,
    idle_timeout: Duration,
    routes: HashMap<SocketAddrV4, Route>,
}

impl RouteTable {
    /// Builds the table; of two routes with one address the first counts.
    pub fn new(version: Version, idle_timeout: Duration, routes: Vec<Route>) -> Self {
        let mut by_address = HashMap::with_capacity(routes.len());
        for route in routes {
            by_address.entry(route.address).or_insert(route);
        }
        Self {
            version,
            idle_timeout,
            routes: by_address,
        }
    }

    /// Returns the configuration's version.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the time after which an idle flow may be forgotten.
    pub const fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the route of a service address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&address)
    }

    /// Iterates over all routes in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
