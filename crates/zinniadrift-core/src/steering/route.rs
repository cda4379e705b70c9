use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;

/// Sends the new flows of one service address to services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: Box<str>,
    /// The address that callers use.
    pub address: SocketAddrV4,
    /// The services that new flows go to, with their shares.
    #[serde(rename = "backends")]
    pub services: Vec<WeightedService>,
    /// What its requests allow.
    pub kind: RouteKind,
    /// The urgency of its requests; 0 is the highest.
    pub priority: u8,
}

/// Is one service behind a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share of the new flows relative to the route's other services.
    pub weight: u32,
}

/// Tells what the requests of a route allow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// May be repeated.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Runs at most once and has a large body.
    Upload,
}
