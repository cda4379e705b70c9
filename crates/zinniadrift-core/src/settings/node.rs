use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::checker::Checker;
use super::{SettingChange, SettingPath, SettingsError, TargetState, ZoneDrain, deserialization};
use crate::ids::ZoneName;
use crate::units::Weight;

/// A node of the settings tree, which inherits the policies of its parent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// The policies that this node sets, by group and name.
    #[serde(skip_serializing_if = "Map::is_empty")]
    pub policies: Map<String, Value>,
    /// The drained availability zones by name; only at the root.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub zone_drains: BTreeMap<ZoneName, ZoneDrain>,
    /// The service at this node, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceNode>,
    /// The service's targets by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub targets: BTreeMap<Box<str>, TargetNode>,
    /// The child nodes by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub nodes: BTreeMap<Box<str>, Node>,
}

impl Node {
    /// Parses and checks a tree; JSON paths in errors start at the tree's root.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn parse(json: &[u8]) -> Result<Self, Vec<SettingsError>> {
        let result = deserialization::parse_lenient::<Self>(json, "$");
        let mut errors = result.errors;
        let tree = result.value.as_ref();
        let further = tree.map(|tree| Checker::check(tree, "$", &result.dropped));
        if let Some(Err(further)) = further {
            errors.extend(further);
        }
        match result.value {
            Some(tree) if errors.is_empty() => Ok(tree),
            _ => Err(errors),
        }
    }

    /// Checks this node as the root of a tree; JSON paths in errors start at it.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn check(&self) -> Result<(), Vec<SettingsError>> {
        Checker::check(self, "$", &BTreeSet::new()).map(|_| ())
    }

    /// Returns this tree with one setting changed, or removed if `value` is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if the setting's node does not exist, or else every error of the changed
    /// tree.
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

    /// Returns the node at a slash-separated path relative to this node; an empty path yields this
    /// node.
    pub fn descendant(&self, path: &str) -> Option<&Self> {
        let mut names = path.split('/').filter(|n| !n.is_empty());
        names.try_fold(self, |node, name| node.nodes.get(name))
    }

    /// Returns the availability zones of the targets of this node and its descendants.
    pub fn zones(&self) -> BTreeSet<&ZoneName> {
        let own = self.targets.values().map(|t| &t.zone);
        own.chain(self.nodes.values().flat_map(Self::zones))
            .collect()
    }

    /// Returns the node at a slash-separated path relative to this node, for changes.
    pub fn descendant_mut(&mut self, path: &str) -> Option<&mut Self> {
        let mut names = path.split('/').filter(|n| !n.is_empty());
        names.try_fold(self, |node, name| node.nodes.get_mut(name))
    }
}

/// The part of a node that defines a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceNode {
    /// The address and port to which callers send their flows.
    pub address: SocketAddrV4,
}

/// A target of a service, as set in the tree.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetNode {
    /// The address and port for flows (UDP) and requests (TCP).
    pub address: SocketAddr,
    /// The availability zone that the target is in.
    pub zone: ZoneName,
    /// The target's share of the service's flows relative to the other targets.
    #[serde(default)]
    pub weight: Weight,
    /// Whether the target takes new work.
    #[serde(default)]
    pub state: TargetState,
    /// The number of requests that the target runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u16,
}

const fn default_slots() -> u16 {
    2
}
