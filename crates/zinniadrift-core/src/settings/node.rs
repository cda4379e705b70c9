use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::checker::Checker;
use super::{SettingChange, SettingPath, SettingsError, TargetState, shape};
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

impl Node {
    /// Reads a tree from a file's text and checks it as a whole; JSON paths start at the tree.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn parse(json: &[u8]) -> Result<Self, Vec<SettingsError>> {
        let shaped = shape::read::<Self>(json, "$");
        let mut faults = shaped.faults;
        let tree = shaped.value.as_ref();
        let further = tree.map(|tree| Checker::check(tree, "$", &shaped.dropped));
        if let Some(Err(further)) = further {
            faults.extend(further);
        }
        match shaped.value {
            Some(tree) if faults.is_empty() => Ok(tree),
            _ => Err(faults),
        }
    }

    /// Checks a tree as a whole; JSON paths start at the tree.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn check(&self) -> Result<(), Vec<SettingsError>> {
        Checker::check(self, "$", &BTreeSet::new()).map(|_| ())
    }

    /// Returns this tree with one setting changed, or removed if `value` is `None`.
    ///
    /// # Errors
    ///
    /// Fails if the setting's node does not exist, and returns every fault of the changed tree.
    pub fn with_setting(
        &self,
        path: &SettingPath,
        value: Option<Value>,
    ) -> Result<Self, Vec<SettingsError>> {
        let (names, _) = path.split();
        if self.descendant(&names.join("/")).is_none() {
            let expected = "a setting of an existing node";
            return Err(vec![SettingsError::new(
                &path.to_string(),
                "the node",
                expected,
            )]);
        }
        let mut json = serde_json::to_value(self).unwrap_or_default();
        let change = SettingChange {
            path: path.clone(),
            before: None,
            after: value,
        };
        SettingChange::apply_all(&[change], &mut json);
        Self::parse(json.to_string().as_bytes())
    }

    /// Returns the node at a slash-separated path; the empty path is this node.
    pub fn descendant(&self, path: &str) -> Option<&Self> {
        let mut names = path.split('/').filter(|n| !n.is_empty());
        names.try_fold(self, |node, name| node.nodes.get(name))
    }

    /// Returns the node at a slash-separated path for changes.
    pub fn descendant_mut(&mut self, path: &str) -> Option<&mut Self> {
        let mut names = path.split('/').filter(|n| !n.is_empty());
        names.try_fold(self, |node, name| node.nodes.get_mut(name))
    }
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
