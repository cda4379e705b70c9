use serde::{Deserialize, Serialize};

use super::{Node, SettingsError, limits};
use crate::units::Version;

/// Is the platform object that holds a user's settings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Rises by one with each accepted edit.
    pub version: Version,
    /// Identifies the edit that wrote this version, to settle a lost answer.
    pub edit_id: Box<str>,
    /// The ids of the latest edits before this one, newest first, so that a lost answer can be
    /// settled after further edits. At most [`Document::RECENT_EDITS`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent_edits: Vec<Box<str>>,
    /// The root of the tree.
    pub tree: Node,
}

impl Document {
    /// Bounds `recent_edits`. An edit's answer is settled within seconds; at 1,600 edits a day 64
    /// entries cover about an hour.
    pub const RECENT_EDITS: usize = 64;

    /// Parses a document of at most [`MAX_DOCUMENT_BYTES`](super::MAX_DOCUMENT_BYTES).
    ///
    /// The values of the tree are not checked; see
    /// [`ServiceCatalog::check`](super::ServiceCatalog::check).
    ///
    /// # Errors
    ///
    /// Returns the first place at which the JSON does not have the document's shape.
    pub fn parse(json: &[u8]) -> Result<Self, SettingsError> {
        limits::parse(json, "$")
    }

    /// Returns the document that follows this one, with a changed tree.
    #[must_use]
    pub fn successor(&self, edit_id: Box<str>, tree: Node) -> Self {
        let previous = Some(self.edit_id.clone()).filter(|id| !id.is_empty());
        let recent = previous
            .into_iter()
            .chain(self.recent_edits.iter().cloned());
        Self {
            version: self.version.next(),
            edit_id,
            recent_edits: recent.take(Self::RECENT_EDITS).collect(),
            tree,
        }
    }

    /// Tells whether the edit is part of this document's history.
    pub fn contains_edit(&self, edit_id: &str) -> bool {
        *self.edit_id == *edit_id || self.recent_edits.iter().any(|id| **id == *edit_id)
    }
}
