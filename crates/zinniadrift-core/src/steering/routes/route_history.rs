use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;
use crate::units::Version;

use crate::steering::{Route, RouteTable, ServiceWarmUp};

/// The difference between two versions of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteDelta {
    /// The version that the delta applies to; `None` if it holds all routes.
    pub base: Option<Version>,
    /// The version that the delta results in.
    pub version: Version,
    /// The time without packets after which a flow may be forgotten.
    pub idle_timeout: Duration,
    /// New and changed routes.
    pub put: Vec<Route>,
    /// The service addresses of removed routes.
    #[serde(rename = "dropped")]
    pub removed: Vec<SocketAddrV4>,
    /// All limits of targets that warm up; `None` if neither version has any. Older builds leave it
    /// out; the limits of the base then stay in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_ups: Option<Vec<ServiceWarmUp>>,
    /// All services of the configuration; `None` if they are those of the base and of the routes.
    /// Older builds leave it out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<ServiceId>>,
}

impl RouteDelta {
    /// Returns the resulting table, or `None` if the delta does not apply to `table`.
    pub fn apply(self, table: &RouteTable) -> Option<RouteTable> {
        let kept: Vec<Route> = match self.base {
            None => Vec::new(),
            Some(base) if base == table.version() => {
                let replaced = |a: &SocketAddrV4| self.put.iter().any(|r| r.address == *a);
                let stays =
                    |r: &&Route| !self.removed.contains(&r.address) && !replaced(&r.address);
                table.iter().filter(stays).cloned().collect()
            }
            Some(_) => return None,
        };
        let of_base = self.base.map(|_| table.warm_ups().to_vec());
        let warm_ups = self.warm_ups.or(of_base).unwrap_or_default();
        let of_base = self.base.and(table.services()).map(<[_]>::to_vec);
        let routes = kept.into_iter().chain(self.put).collect();
        let table = RouteTable::new(self.version, self.idle_timeout, routes);
        let table = table.with_warm_ups(warm_ups);
        Some(match self.services.or(of_base) {
            Some(services) => table.with_services(services),
            None => table,
        })
    }
}

/// The latest configurations, from which peers get only the routes that changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteHistory {
    tables: VecDeque<Arc<RouteTable>>,
}

/// The maximum number of versions; a peer sends a request at least once a second.
const CAPACITY: usize = 8;

impl RouteHistory {
    pub(crate) fn push(&mut self, table: Arc<RouteTable>) {
        if self.tables.len() >= CAPACITY {
            self.tables.pop_front();
        }
        self.tables.push_back(table);
    }

    /// Returns the delta from `from` to the latest version; `None` if `from` is the latest.
    pub(crate) fn delta(&self, from: Version) -> Option<RouteDelta> {
        let newest = self.tables.back()?;
        if newest.version() <= from {
            return None;
        }
        let base = self.tables.iter().find(|t| t.version() == from);
        let unchanged = |r: &Route| base.is_some_and(|b| b.get(r.address) == Some(r));
        let removed = base.into_iter().flat_map(|b| b.iter());
        let removed = removed.filter(|r| newest.get(r.address).is_none());
        let known = base.map_or(&[][..], |b| b.warm_ups());
        // The peer may have the base from an older build, without the limits.
        let has_any = !newest.warm_ups().is_empty() || !known.is_empty();
        let warm_ups = has_any.then(|| newest.warm_ups().to_vec());
        // The services rarely change.
        let services = newest.services();
        let services = services.filter(|s| base.and_then(|b| b.services()) != Some(s));
        Some(RouteDelta {
            base: base.map(|b| b.version()),
            version: newest.version(),
            idle_timeout: newest.idle_timeout(),
            put: newest.iter().filter(|r| !unchanged(r)).cloned().collect(),
            removed: removed.map(|r| r.address).collect(),
            warm_ups,
            services: services.map(<[_]>::to_vec),
        })
    }
}
