use serde::{Deserialize, Serialize};

use super::{Node, SettingsError, deserialization};
use crate::units::Version;

/// The settings of a user, as stored in one object of the platform.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The version, which rises with each accepted edit.
    pub version: Version,
    /// The id of the edit that wrote this version, by which an editor whose answer was lost finds
    /// out whether the edit was stored.
    pub edit_id: Box<str>,
    /// The edits before this one, newest first, by which an editor whose answer was lost can find
    /// its edit after further ones. At most [`Document::RECENT_EDITS`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent_edits: Vec<RecentEdit>,
    /// The root of the tree.
    pub tree: Node,
}

/// An earlier edit of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RecentEdit {
    /// The edit's id.
    pub edit_id: Box<str>,
    /// The version that the edit produced.
    pub version: Version,
}

impl Document {
    /// The maximum length of `recent_edits`.
    ///
    /// An editor resolves a lost answer within seconds; at 1,600 edits a day, 64 entries cover
    /// about an hour.
    pub const RECENT_EDITS: usize = 64;

    /// Parses a document of at most [`MAX_DOCUMENT_BYTES`](super::MAX_DOCUMENT_BYTES) bytes.
    ///
    /// The tree is not checked beyond its schema; see
    /// [`ServiceCatalog::check`](super::ServiceCatalog::check).
    ///
    /// # Errors
    ///
    /// Returns the first place at which the JSON does not match the schema of a document.
    pub fn parse(json: &[u8]) -> Result<Self, SettingsError> {
        deserialization::parse(json, "$")
    }

    /// Returns the document that replaces this one, with the given tree and a version above both
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

    /// Returns the version that an edit produced, if it is the last edit or among the recent ones.
    pub fn version_of_edit(&self, edit_id: &str) -> Option<Version> {
        if *self.edit_id == *edit_id {
            return Some(self.version);
        }
        let mut recent = self.recent_edits.iter();
        recent.find(|e| *e.edit_id == *edit_id).map(|e| e.version)
    }
}
