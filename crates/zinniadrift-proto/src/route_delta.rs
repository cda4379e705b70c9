use std::net::SocketAddrV4;
use std::time::Duration;

use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::steering::{Route, RouteDelta, RouteKind, ServiceWarmUp, WeightedService};
use zinniadrift_core::units::Version;

use crate::nanos::to_nanos;
use crate::{PeerUpdateError, v1};

impl From<RouteDelta> for v1::RouteDelta {
    fn from(delta: RouteDelta) -> Self {
        Self {
            base: delta.base.map(Version::get),
            version: delta.version.get(),
            idle_timeout: to_nanos(delta.idle_timeout),
            put: delta.put.into_iter().map(Into::into).collect(),
            removed: delta.removed.into_iter().map(Into::into).collect(),
            warm_ups: delta.warm_ups.map(|list| v1::WarmUps {
                services: list.into_iter().map(Into::into).collect(),
            }),
            services: delta.services.map(|list| v1::Services {
                ids: list.into_iter().map(ServiceId::get).collect(),
            }),
        }
    }
}

impl TryFrom<v1::RouteDelta> for RouteDelta {
    type Error = PeerUpdateError;

    fn try_from(delta: v1::RouteDelta) -> Result<Self, PeerUpdateError> {
        let put: Result<Vec<Route>, _> = delta.put.into_iter().map(TryInto::try_into).collect();
        let removed: Result<Vec<SocketAddrV4>, _> =
            delta.removed.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            base: delta.base.map(Into::into),
            version: delta.version.into(),
            idle_timeout: Duration::from_nanos(delta.idle_timeout),
            put: put?,
            removed: removed?,
            warm_ups: delta
                .warm_ups
                .map(|list| list.services.into_iter().map(Into::into).collect()),
            services: delta
                .services
                .map(|list| list.ids.into_iter().map(Into::into).collect()),
        })
    }
}

impl From<ServiceWarmUp> for v1::ServiceWarmUp {
    fn from(warm_up: ServiceWarmUp) -> Self {
        Self {
            service: warm_up.service.get(),
            milli_rate: warm_up.rate.into(),
            duration: to_nanos(warm_up.duration),
        }
    }
}

impl From<v1::ServiceWarmUp> for ServiceWarmUp {
    fn from(warm_up: v1::ServiceWarmUp) -> Self {
        Self {
            service: ServiceId::from(warm_up.service),
            rate: warm_up.milli_rate.into(),
            duration: Duration::from_nanos(warm_up.duration),
        }
    }
}

impl From<Route> for v1::Route {
    fn from(route: Route) -> Self {
        let services = route.services.into_iter().map(|s| v1::WeightedService {
            service: s.service.get(),
            weight: s.weight,
        });
        Self {
            name: route.name.into(),
            address: Some(route.address.into()),
            services: services.collect(),
            kind: v1::RouteKind::from(route.kind).into(),
            priority: route.priority.into(),
            latency_target: route.latency_target.map(to_nanos),
            timeout: route.timeout.map(to_nanos),
        }
    }
}

impl TryFrom<v1::Route> for Route {
    type Error = PeerUpdateError;

    fn try_from(route: v1::Route) -> Result<Self, PeerUpdateError> {
        let address = route.address;
        let address = address.ok_or(PeerUpdateError::Missing("the address of a route"))?;
        let services = route.services.into_iter().map(|s| WeightedService {
            service: ServiceId::from(s.service),
            weight: s.weight,
        });
        Ok(Self {
            address: address.try_into()?,
            services: services.collect(),
            // A kind of a later build promises nothing that this build knows of.
            kind: v1::RouteKind::try_from(route.kind)
                .unwrap_or_default()
                .into(),
            priority: u8::try_from(route.priority).unwrap_or(u8::MAX),
            latency_target: route.latency_target.map(Duration::from_nanos),
            timeout: route.timeout.map(Duration::from_nanos),
            name: route.name.into(),
        })
    }
}

impl From<RouteKind> for v1::RouteKind {
    fn from(kind: RouteKind) -> Self {
        match kind {
            RouteKind::Idempotent => Self::Idempotent,
            RouteKind::NonIdempotent => Self::NonIdempotent,
            RouteKind::Upload => Self::Upload,
            RouteKind::Download => Self::Download,
            RouteKind::Other => Self::Other,
        }
    }
}

impl From<v1::RouteKind> for RouteKind {
    fn from(kind: v1::RouteKind) -> Self {
        match kind {
            v1::RouteKind::Idempotent => Self::Idempotent,
            v1::RouteKind::NonIdempotent => Self::NonIdempotent,
            v1::RouteKind::Upload => Self::Upload,
            v1::RouteKind::Download => Self::Download,
            v1::RouteKind::Other => Self::Other,
        }
    }
}
