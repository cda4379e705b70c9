use rand::RngExt;
use snafu::Snafu;

use zinniadrift_core::settings::{Document, Node, ServiceCatalog, SettingsError};
use zinniadrift_core::units::Version;

use crate::{ObjectStore, Precondition, StoreError};

/// Reads and edits a user's settings in the platform.
#[derive(Debug)]
pub struct SettingsRepository<S> {
    store: S,
    user: Box<str>,
}

/// Is the result of an accepted edit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Edit {
    /// The version that the edit produced.
    pub version: Version,
}

/// Tells why an edit was not accepted.
#[derive(Debug, Snafu)]
pub enum EditError {
    /// The tree does not pass its checks.
    #[snafu(display("{} faults in the settings, first: {}", faults.len(), faults[0]))]
    Invalid {
        /// Every fault found.
        faults: Vec<SettingsError>,
    },
    /// The platform refused the write or did not answer.
    #[snafu(transparent)]
    Store {
        /// The store's error.
        source: StoreError,
    },
}

impl<S: ObjectStore> SettingsRepository<S> {
    /// Returns the repository of `user`'s settings.
    pub fn new(store: S, user: &str) -> Self {
        Self {
            store,
            user: user.into(),
        }
    }

    /// Returns the key of the settings object.
    pub fn key(&self) -> Box<str> {
        format!("settings/{}", self.user).into()
    }

    /// Replaces the whole tree by one conditional update.
    ///
    /// # Errors
    ///
    /// Fails if the tree has faults, if another edit came first, or if the platform is down.
    pub async fn apply(&self, tree: Node) -> Result<Edit, EditError> {
        let key = self.key();
        let current = self.store.get(&key).await?;
        let (version, pre) = match &current {
            Some(o) => {
                let held = o
                    .value
                    .get("version")
                    .and_then(serde_json::Value::as_u64)
                    .unwrap_or(0);
                (
                    Version::from(held).next(),
                    Precondition::Revision(o.revision),
                )
            }
            None => (Version::from(1), Precondition::Absent),
        };
        let edit_id = format!("{:016x}", rand::rng().random::<u64>()).into();
        let doc = Document {
            version,
            edit_id,
            recent_edits: Vec::new(),
            tree,
        };
        if let Err(faults) = ServiceCatalog::check(&doc) {
            return Err(EditError::Invalid { faults });
        }
        let value = serde_json::to_value(&doc).unwrap_or_default();
        self.store.put(&key, value, pre).await?;
        Ok(Edit { version })
    }
}
