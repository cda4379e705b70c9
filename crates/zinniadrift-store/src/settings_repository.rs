use rand::RngExt;

use zinniadrift_core::settings::{
    Document, MAX_DOCUMENT_BYTES, Node, ServiceCatalog, SettingChange, SettingsError,
};
use zinniadrift_core::units::Version;

use crate::{
    DaemonStatus, Edit, EditError, ObjectStore, Precondition, RepositorySettings, StoreError,
    StoredSettings,
};

/// Reads and edits a user's settings in the platform.
#[derive(Debug)]
pub struct SettingsRepository<S> {
    store: S,
    user: Box<str>,
    cfg: RepositorySettings,
}

/// Is an edit on its way to the store.
#[derive(Debug)]
struct Pending<'a> {
    edit_id: Box<str>,
    base: &'a Document,
    wanted: &'a Node,
    changes: Vec<SettingChange>,
    unanswered: Option<Unanswered>,
}

/// Is a write whose outcome is unknown.
#[derive(Clone, Debug)]
struct Unanswered {
    source: StoreError,
    /// The revision on which the write was conditional.
    revision: Option<u64>,
}

impl<S: ObjectStore> SettingsRepository<S> {
    /// Returns the repository of `user`'s settings.
    pub fn new(store: S, user: &str) -> Self {
        Self::with_settings(store, user, RepositorySettings::default())
    }

    /// Returns the repository of `user`'s settings with other limits.
    pub fn with_settings(store: S, user: &str, cfg: RepositorySettings) -> Self {
        Self {
            store,
            user: user.into(),
            cfg,
        }
    }

    /// Returns the key of the settings object.
    pub fn key(&self) -> Box<str> {
        format!("settings/{}", self.user).into()
    }

    /// Reads the stored settings; the default document if there are none.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down or the object is not a settings document.
    pub async fn read(&self) -> Result<StoredSettings, EditError> {
        let key = self.key();
        let Some(object) = self.store.get(&key).await? else {
            return Ok(StoredSettings::default());
        };
        let json = object.value.to_string();
        let document =
            Document::parse(json.as_bytes()).map_err(|fault| EditError::Stored { key, fault })?;
        Ok(StoredSettings {
            document,
            revision: Some(object.revision),
        })
    }

    /// Reads the status objects of the user's daemons; malformed ones are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the platform is down.
    pub async fn statuses(&self) -> Result<Vec<DaemonStatus>, StoreError> {
        let objects = self.store.list(&format!("status/{}/", self.user)).await?;
        let values = objects.into_iter().map(|o| o.value);
        Ok(values
            .filter_map(|value| serde_json::from_value(value).ok())
            .collect())
    }

    /// Replaces the whole tree that is stored now.
    ///
    /// # Errors
    ///
    /// Fails like [`submit`](Self::submit).
    pub async fn apply(&self, tree: Node) -> Result<Edit, EditError> {
        let base = self.read().await?;
        self.submit(&base, &tree).await
    }

    /// Submits the changes from `base` to `wanted` as one edit.
    ///
    /// Edits of other settings that came in between are kept.
    ///
    /// # Errors
    ///
    /// Fails if the tree has faults, if another edit changed the same setting, if the store went
    /// back to an older state, or if the platform stays down.
    pub async fn submit(&self, base: &StoredSettings, wanted: &Node) -> Result<Edit, EditError> {
        wanted
            .check()
            .map_err(|faults| EditError::Invalid { faults })?;
        let mut pending = Pending {
            edit_id: format!("{:016x}", rand::rng().random::<u64>()).into(),
            base: &base.document,
            wanted,
            changes: SettingChange::between(&base.document.tree, wanted),
            unanswered: None,
        };
        let mut last = None;
        for attempt in 0..self.cfg.max_attempts {
            if attempt > 0 {
                tokio::time::sleep(self.cfg.retry_delay * attempt).await;
            }
            let outcome = match attempt {
                0 => self.attempt(&mut pending, base).await,
                _ => match self.read().await {
                    Ok(current) => self.attempt(&mut pending, &current).await,
                    Err(e) => Err(e),
                },
            };
            match outcome {
                Ok(edit) => return Ok(edit),
                Err(e) if may_pass(&e) => last = Some(e),
                Err(e) => return Err(pending.classify(e)),
            }
        }
        let attempts = self.cfg.max_attempts;
        let e = last.unwrap_or(EditError::Busy { attempts });
        Err(match pending.classify(e) {
            EditError::Store {
                source: StoreError::Conflict { .. },
            } => EditError::Busy { attempts },
            e => e,
        })
    }

    /// Tries the edit once against the given state of the store.
    async fn attempt(
        &self,
        pending: &mut Pending<'_>,
        current: &StoredSettings,
    ) -> Result<Edit, EditError> {
        let stored = &current.document;
        if self.cfg.read_back
            && let Some(version) = stored.version_of_edit(&pending.edit_id)
        {
            return Ok(pending.accepted(version));
        }
        pending.settle(current.revision);
        let floor = self.floor(pending.base, stored).await?;
        let tree = pending.carried_to(stored)?;
        if tree == stored.tree && current.revision.is_some() && floor == stored.version {
            pending.changes.clear();
            return Ok(pending.accepted(stored.version));
        }
        let next = stored.successor(pending.edit_id.clone(), tree, floor);
        ServiceCatalog::check(&next).map_err(|faults| EditError::Invalid { faults })?;
        let pre = current
            .revision
            .map_or(Precondition::Absent, Precondition::Revision);
        let value = to_value(&next)?;
        match self.store.put(&self.key(), value, pre).await {
            Ok(_) => Ok(pending.accepted(next.version)),
            Err(e @ StoreError::Unavailable { .. }) => {
                pending.unanswered = Some(Unanswered {
                    source: e.clone(),
                    revision: current.revision,
                });
                Err(e.into())
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Returns the version above which the edit must be numbered.
    ///
    /// Daemons refuse lower versions, so an edit of an older state would never be in force.
    async fn floor(&self, base: &Document, stored: &Document) -> Result<Version, EditError> {
        let statuses = self.statuses().await?;
        let daemons = statuses.into_iter().map(|s| (s.version, s.name));
        let based_on = (base.version, "the state that the edit is based on".into());
        let highest = daemons
            .chain([based_on])
            .max_by_key(|(version, _)| *version);
        match highest {
            Some((in_force, holder)) if in_force > stored.version && !self.cfg.recover => {
                Err(EditError::StoreBehind {
                    stored: stored.version,
                    holder,
                    in_force,
                })
            }
            Some((in_force, _)) => Ok(in_force.max(stored.version)),
            None => Ok(stored.version),
        }
    }
}

impl Pending<'_> {
    /// Settles an unanswered write by a later state that does not contain it.
    ///
    /// The write's condition cannot hold any more. A state at the condition's own revision proves
    /// nothing: the write may still be on its way, or the read may be stale.
    fn settle(&mut self, revision: Option<u64>) {
        self.unanswered = self.unanswered.take().filter(|w| revision <= w.revision);
    }

    /// Returns the wanted tree, with the changes that others made since the base was read.
    fn carried_to(&self, stored: &Document) -> Result<Node, EditError> {
        if stored.tree == self.base.tree {
            return Ok(self.wanted.clone());
        }
        let rebased = stored.tree.three_way_merge(&self.base.tree, self.wanted);
        rebased.map_err(|conflicts| EditError::Conflict {
            version: stored.version,
            conflicts,
        })
    }

    fn accepted(&self, version: Version) -> Edit {
        Edit {
            version,
            changes: self.changes.clone(),
        }
    }

    /// Turns a failure into "unknown" if an earlier write may still have been stored.
    fn classify(&self, e: EditError) -> EditError {
        match &self.unanswered {
            Some(write) => EditError::Unknown {
                edit_id: self.edit_id.clone(),
                source: write.source.clone(),
            },
            None => e,
        }
    }
}

/// Tells whether a further attempt can succeed.
///
/// A store that looks older may be a stale read.
fn may_pass(e: &EditError) -> bool {
    match e {
        EditError::StoreBehind { .. } => true,
        EditError::Store { source } => !matches!(source, StoreError::Refused { .. }),
        _ => false,
    }
}

fn to_value(document: &Document) -> Result<serde_json::Value, EditError> {
    let value = serde_json::to_value(document).unwrap_or_default();
    let bytes = value.to_string().len();
    if bytes <= MAX_DOCUMENT_BYTES {
        return Ok(value);
    }
    let found = format!("a document of {bytes} bytes");
    let expected = format!("at most {MAX_DOCUMENT_BYTES} bytes");
    Err(EditError::Invalid {
        faults: vec![SettingsError::new("$", &found, &expected)],
    })
}
