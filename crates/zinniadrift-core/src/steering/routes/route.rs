use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;

/// The services that get the new flows of one service address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Box<str>,
    /// The service address that callers use.
    pub address: SocketAddrV4,
    /// The services that get new flows, with their weights.
    #[serde(rename = "backends")]
    pub services: Vec<WeightedService>,
    /// How requests of the route may be repeated, and their size.
    pub kind: RouteKind,
    /// The priority of its requests; 0 is the highest.
    pub priority: u8,
    /// The response time that its callers aim for, if the configuration has one.
    #[serde(default)]
    pub latency_target: Option<Duration>,
    /// The time after which its callers give up, if the configuration has one.
    #[serde(default)]
    pub timeout: Option<Duration>,
}

/// A service of a route with its weight.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share of the new flows, relative to the weights of the route's other services.
    pub weight: u32,
}

/// The properties of a route's requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// Requests may be repeated.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Requests run at most once and have large bodies.
    Upload,
    /// Requests may be repeated and have large responses.
    Download,
    /// Nothing is known about the requests; they count as not repeatable.
    Other,
}
