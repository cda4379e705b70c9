use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::TargetState;
use crate::ids::ZoneName;
use crate::units::Weight;

/// Is one node of the settings tree; it inherits its parent's policies.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// The policies that this node overrides.
    #[serde(skip_serializing_if = "Map::is_empty")]
    pub policies: Map<String, Value>,
    /// The service that this node describes, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceNode>,
    /// The service's targets by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub targets: BTreeMap<Box<str>, TargetNode>,
    /// The children by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub nodes: BTreeMap<Box<str>, Node>,
}

/// Describes how callers reach a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceNode {
    /// The address and port to which callers send their flows.
    pub address: SocketAddrV4,
}

/// Describes one target of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetNode {
    /// The address and port for flows (UDP) and requests (TCP).
    pub address: SocketAddr,
    /// The availability zone that the target is in.
    pub zone: ZoneName,
    /// The share of the service's flows relative to other targets.
    #[serde(default)]
    pub weight: Weight,
    /// Whether the target takes new work.
    #[serde(default)]
    pub state: TargetState,
    /// The requests that the target runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u16,
}

const fn default_slots() -> u16 {
    2
}
