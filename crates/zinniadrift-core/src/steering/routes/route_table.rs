use std::net::SocketAddrV4;
use std::time::Duration;

use hashbrown::HashMap;

use crate::units::Version;

use crate::steering::Route;

/// The routes of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Version,
    idle_timeout: Duration,
    routes: HashMap<SocketAddrV4, Route>,
}

impl RouteTable {
    /// Returns a table of the routes; of several routes with one address, it has the first.
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

    /// Returns the time without packets after which a flow may be forgotten.
    pub const fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the route of a service address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&address)
    }

    /// Returns all routes in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
