use zinniadrift_core::settings::{Document, SettingChange};
use zinniadrift_core::units::Version;

/// The result of an accepted edit.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedEdit {
    /// The version of the document that contains the edit.
    pub version: Version,
    /// The settings that the edit changed; empty if the store already held the wanted values.
    pub changes: Vec<SettingChange>,
}

/// A settings document as read from the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredSettings {
    /// The document; the default one if the object does not exist.
    pub document: Document,
    /// The object's revision, `None` if it does not exist.
    pub revision: Option<u64>,
}
