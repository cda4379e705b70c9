use serde::{Deserialize, Serialize};

use super::Node;
use crate::units::Version;

/// Is the platform object that holds a user's settings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Rises by one with each accepted edit.
    pub version: Version,
    /// Identifies the edit that wrote this version, to settle a lost answer.
    pub edit_id: Box<str>,
    /// The root of the tree.
    pub tree: Node,
}
