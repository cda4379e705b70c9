use std::str::FromStr;

use derive_more::Display;

/// The path of a setting in the tree.
///
/// The text form is the JSON path (`$.nodes.granite.policies.flows.ramp_s`); the parser also
/// accepts the path of the node and the setting within the node (`granite:policies.flows.ramp_s`).
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("$.{}", _0.join("."))]
pub struct SettingPath(Vec<Box<str>>);

/// The error for a text that is not the path of a setting.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{text} does not name a setting; expected NODE:SETTING or $.JSON.PATH")]
pub struct SettingPathError {
    text: Box<str>,
}

impl std::error::Error for SettingPathError {}

impl SettingPath {
    /// Returns the path that consists of the given keys from the root of the tree.
    pub fn new(keys: Vec<Box<str>>) -> Self {
        Self(keys)
    }

    /// Returns the path of `setting`, such as `service.address`, in the node at the path `node`.
    pub fn within(node: &str, setting: &str) -> Self {
        let names = node.split('/').filter(|n| !n.is_empty());
        let nodes = names.flat_map(|n| ["nodes", n]);
        let setting = setting.split('.');
        Self(nodes.chain(setting).map(Into::into).collect())
    }

    /// Returns the keys from the root of the tree.
    pub fn keys(&self) -> &[Box<str>] {
        &self.0
    }

    /// Splits the path into the names of the nodes from the root and the keys within the last node.
    pub fn split(&self) -> (Vec<&str>, &[Box<str>]) {
        let mut nodes = Vec::new();
        let mut rest = self.keys();
        while let [key, name, tail @ ..] = rest {
            if &**key != "nodes" {
                break;
            }
            nodes.push(&**name);
            rest = tail;
        }
        (nodes, rest)
    }
}

impl FromStr for SettingPath {
    type Err = SettingPathError;

    fn from_str(text: &str) -> Result<Self, SettingPathError> {
        let path = match (text.strip_prefix("$."), text.split_once(':')) {
            (Some(keys), _) => Self(keys.split('.').map(Into::into).collect()),
            (None, Some((node, setting))) => Self::within(node, setting),
            (None, None) => return Err(SettingPathError { text: text.into() }),
        };
        if path.0.iter().any(|key| key.is_empty()) {
            return Err(SettingPathError { text: text.into() });
        }
        Ok(path)
    }
}
