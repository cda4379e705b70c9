use std::sync::Arc;

use zinniadrift_core::ids::{ServiceId, TargetId, ZoneName};
use zinniadrift_core::settings::{
    ClaimPolicies, Policies, Service, ServiceCatalog, Target, TargetState,
};
use zinniadrift_core::units::{Version, Weight};

use super::{FakeTarget, SimulationSettings};

const SERVICE: &str = "granite/gradebook";
const ZONES: [&str; 3] = ["lowell", "nashua", "concord"];

/// Returns the id of the simulated service.
pub(super) fn service() -> ServiceId {
    ServiceId::from_name(SERVICE)
}

/// Returns the availability zone of the gateway or target with the given index.
pub(super) fn zone(index: usize) -> ZoneName {
    ZONES[index % ZONES.len()].into()
}

/// Returns the id of the target with the given index.
pub(super) fn target_id(index: usize) -> TargetId {
    TargetId::from_name(SERVICE, &target_name(index))
}

/// Returns the settings with the given targets.
pub(super) fn catalog(
    version: Version,
    targets: &[FakeTarget],
    cfg: &SimulationSettings,
) -> Arc<ServiceCatalog> {
    let policies = Policies {
        claims: ClaimPolicies {
            shards: cfg.shards,
            write_rate: cfg.write_rate,
            ..ClaimPolicies::default()
        },
        hedging: cfg.hedging.clone(),
        ..Policies::default()
    };
    let targets = targets.iter().enumerate().map(|(i, t)| Target {
        id: t.id,
        name: target_name(i).into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: t.zone.clone(),
        weight: Weight::default(),
        state: if t.draining {
            TargetState::Draining
        } else {
            TargetState::Active
        },
        slots: cfg.slots,
    });
    Arc::new(ServiceCatalog {
        version,
        services: vec![Service {
            id: service(),
            path: SERVICE.into(),
            address: std::net::SocketAddrV4::new([127, 0, 0, 1].into(), 80),
            targets: targets.collect(),
            policies,
        }],
    })
}

fn target_name(index: usize) -> String {
    format!("target-{index}")
}
