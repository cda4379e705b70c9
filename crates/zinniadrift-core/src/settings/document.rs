use serde::{Deserialize, Serialize};

use super::{Node, SettingsError, shape};
use crate::units::Version;

/// Is the platform object that holds a user's settings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Rises with each accepted edit.
    pub version: Version,
    /// Identifies the edit that wrote this version, to settle a lost answer.
    pub edit_id: Box<str>,
    /// The latest edits before this one, newest first, so that a lost answer can be settled after
    /// further edits. At most [`Document::RECENT_EDITS`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent_edits: Vec<RecentEdit>,
    /// The root of the tree.
    pub tree: Node,
}

/// Names an earlier edit of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RecentEdit {
    /// The edit's id.
    pub edit_id: Box<str>,
    /// The version that the edit produced.
    pub version: Version,
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
        shape::parse(json, "$")
    }

    /// Returns the document that follows this one, with a changed tree and a version above both
    /// this one's and `floor`.
    #[must_use]
    pub fn successor(&self, edit_id: Box<str>, tree: Node, floor: Version) -> Self {
        let previous = RecentEdit {
            edit_id: self.edit_id.clone(),
            version: self.version,
        };
        let previous = Some(previous).filter(|e| !e.edit_id.is_empty());
        let recent = previous
            .into_iter()
            .chain(self.recent_edits.iter().cloned());
        Self {
            version: self.version.max(floor).next(),
            edit_id,
            recent_edits: recent.take(Self::RECENT_EDITS).collect(),
            tree,
        }
    }

    /// Returns the version that an edit produced, if the edit is among the latest ones.
    pub fn version_of_edit(&self, edit_id: &str) -> Option<Version> {
        if *self.edit_id == *edit_id {
            return Some(self.version);
        }
        let mut recent = self.recent_edits.iter();
        recent.find(|e| *e.edit_id == *edit_id).map(|e| e.version)
    }
}
