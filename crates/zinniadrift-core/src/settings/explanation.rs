use std::fmt;

use serde_json::Value;

use super::{Node, Policies, SettingPath};

/// The effective value of a setting and its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The setting that was asked for.
    pub path: SettingPath,
    /// The value in force.
    pub value: Value,
    /// Where the value comes from.
    pub origin: Origin,
}

/// The origin of an effective value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The value is set by the node at this path; the root's path is empty.
    Node(Box<str>),
    /// The value is the built-in default, as no node sets it.
    Default,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node(path) if path.is_empty() => f.write_str("the root"),
            Self::Node(path) => write!(f, "node {path}"),
            Self::Default => f.write_str("the built-in default"),
        }
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {} from {}", self.path, self.value, self.origin)
    }
}

impl Explanation {
    /// Returns the effective value of the setting at `path`, or `None` if there is no such setting.
    ///
    /// Policies are inherited; a service and its targets are not.
    pub fn of(tree: &Node, path: &SettingPath) -> Option<Self> {
        let (names, keys) = path.split();
        let nodes = lineage(tree, &names)?;
        let pointer: String = keys.iter().map(|key| format!("/{key}")).collect();
        let is_policy = keys.first().is_some_and(|key| &**key == "policies");
        let searched = if is_policy { nodes.len() } else { 1 };
        for (depth, node) in nodes.iter().enumerate().rev().take(searched) {
            let json = serde_json::to_value(node).ok()?;
            if let Some(value) = json.pointer(&pointer) {
                if is_policy && value.is_object() {
                    // The policies of a group may come from several nodes, so a group has no single
                    // origin.
                    return None;
                }
                let origin = Origin::Node(names[..depth].join("/").into());
                return Some(Self::new(path, value, origin));
            }
        }
        let defaults = serde_json::to_value(Policies::default()).ok()?;
        let value = defaults.pointer(pointer.strip_prefix("/policies")?)?;
        Some(Self::new(path, value, Origin::Default))
    }

    fn new(path: &SettingPath, value: &Value, origin: Origin) -> Self {
        Self {
            path: path.clone(),
            value: value.clone(),
            origin,
        }
    }

    /// Returns every effective policy of the node at `path`, or `None` if there is no such node.
    pub fn of_node(tree: &Node, path: &str) -> Option<Vec<Self>> {
        tree.descendant(path)?;
        let defaults = serde_json::to_value(Policies::default()).ok()?;
        let mut explained = Vec::new();
        for (group, policies) in defaults.as_object()? {
            for name in policies.as_object()?.keys() {
                let setting = SettingPath::within(path, &format!("policies.{group}.{name}"));
                explained.extend(Self::of(tree, &setting));
            }
        }
        Some(explained)
    }
}

/// Returns the nodes from the root to the node with the given path, or `None` if there is none.
fn lineage<'a>(tree: &'a Node, names: &[&str]) -> Option<Vec<&'a Node>> {
    let mut nodes = vec![tree];
    let mut node = tree;
    for name in names {
        node = node.nodes.get(*name)?;
        nodes.push(node);
    }
    Some(nodes)
}
