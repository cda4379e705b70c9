use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{TargetId, ZoneName};
use crate::units::Weight;

/// The administrative state of a target, which sets whether it takes new work.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target takes new flows and requests.
    #[default]
    Active,
    /// The target keeps its flows and takes no new work.
    Draining,
}

/// A target of a service with its effective settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The id, derived from the service's path and the target's name.
    pub id: TargetId,
    /// The target's name within the service.
    pub name: Box<str>,
    /// The address and port for flows (UDP) and requests (TCP).
    pub address: SocketAddr,
    /// The availability zone that the target is in.
    pub zone: ZoneName,
    /// The target's share of the service's flows relative to the other targets.
    pub weight: Weight,
    /// Whether the target takes new work.
    pub state: TargetState,
    /// The number of requests that the target runs at the same time.
    pub slots: u16,
}

impl Target {
    /// Returns whether the target takes new flows.
    pub fn is_active(&self) -> bool {
        self.state == TargetState::Active && self.weight.get() > 0
    }
}
