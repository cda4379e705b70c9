use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::ordered_map::OrderedMap;
use crate::units::Version;

use crate::steering::{FlowRate, Route, ServiceWarmUp};

/// The routes of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: Version,
    idle_timeout: Duration,
    routes: OrderedMap<SocketAddrV4, Route>,
    warm_ups: Vec<ServiceWarmUp>,
    /// All services of the configuration, sorted; `None` if the balancer that sent it is of a build
    /// that does not tell.
    services: Option<Vec<ServiceId>>,
}

impl RouteTable {
    /// Returns a table of the routes; of several routes with one address, it has the first.
    pub fn new(version: Version, idle_timeout: Duration, routes: Vec<Route>) -> Self {
        let mut by_address = OrderedMap::with_capacity_and_hasher(routes.len(), Default::default());
        for route in routes {
            by_address.entry(route.address).or_insert(route);
        }
        Self {
            version,
            idle_timeout,
            routes: by_address,
            warm_ups: Vec::new(),
            services: None,
        }
    }

    /// Returns the table with these services in addition to those of its routes.
    #[must_use]
    pub fn with_services(self, mut services: Vec<ServiceId>) -> Self {
        let routed = self.routes.values().flat_map(|r| &r.services);
        services.extend(routed.map(|s| s.service));
        services.sort_unstable();
        services.dedup();
        let services = Some(services);
        Self { services, ..self }
    }

    /// Returns all services of the configuration, sorted; `None` if they are not known.
    pub fn services(&self) -> Option<&[ServiceId]> {
        self.services.as_deref()
    }

    /// Returns whether the configuration has the service, which counts as true if it is not known.
    pub fn has_service(&self, service: ServiceId) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|list| list.binary_search(&service).is_ok())
    }

    /// Returns the table with these limits of targets that warm up; of several for one service, it
    /// has the first.
    #[must_use]
    pub fn with_warm_ups(self, mut warm_ups: Vec<ServiceWarmUp>) -> Self {
        warm_ups.sort_by_key(|w| w.service);
        warm_ups.dedup_by_key(|w| w.service);
        Self { warm_ups, ..self }
    }

    /// Returns the limits of targets that warm up, sorted by service.
    pub fn warm_ups(&self) -> &[ServiceWarmUp] {
        &self.warm_ups
    }

    /// Returns the limit of the service's targets while they warm up, if there is one.
    pub fn warm_up_limit(&self, service: ServiceId) -> Option<&ServiceWarmUp> {
        let found = self.warm_ups.binary_search_by_key(&service, |w| w.service);
        let warm_up = self.warm_ups.get(found.ok()?)?;
        (warm_up.rate > FlowRate::default()).then_some(warm_up)
    }

    /// Returns whether some service has a limit of targets that warm up.
    pub fn has_warm_up_limits(&self) -> bool {
        self.warm_ups.iter().any(|w| w.rate > FlowRate::default())
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

    /// Returns all routes in the order in which they were given.
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
