use rand::RngExt;

use zinniadrift_core::settings::{
    Document, MAX_DOCUMENT_BYTES, Node, ServiceCatalog, SettingChange, SettingsError,
};
use zinniadrift_core::units::Version;

use crate::{
    AcceptedEdit, DaemonStatusSummary, EditError, ObjectStore, Precondition, RepositorySettings,
    StoreError, StoredSettings,
};

/// The settings of one user in the platform, with conditional writes and retries.
#[derive(Debug)]
pub struct SettingsRepository<S> {
    store: S,
    user: Box<str>,
    cfg: RepositorySettings,
}

/// An edit that is being submitted.
#[derive(Debug)]
struct PendingEdit<'a> {
    edit_id: Box<str>,
    base: &'a Document,
    wanted: &'a Node,
    changes: Vec<SettingChange>,
    unanswered: Option<UnansweredWrite>,
}

/// A write that got no answer, so that its outcome is unknown.
#[derive(Clone, Debug)]
struct UnansweredWrite {
    source: StoreError,
    /// The revision that the write's precondition required.
    revision: Option<u64>,
}

impl<S: ObjectStore> SettingsRepository<S> {
    /// Returns the repository of `user`'s settings with the default limits.
    pub fn new(store: S, user: &str) -> Self {
        Self::with_settings(store, user, RepositorySettings::default())
    }

    /// Returns the repository of `user`'s settings with the limits of `cfg`.
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

    /// Reads the stored settings; returns the default document if there are none.
    ///
    /// # Errors
    ///
    /// Fails if the platform is unavailable or the object is not a settings document.
    pub async fn read(&self) -> Result<StoredSettings, EditError> {
        let key = self.key();
        let Some(object) = self.store.get(&key).await? else {
            return Ok(StoredSettings::default());
        };
        let json = object.value.to_string();
        let document = Document::parse(json.as_bytes())
            .map_err(|error| EditError::MalformedDocument { key, error })?;
        Ok(StoredSettings {
            document,
            revision: Some(object.revision),
        })
    }

    /// Reads the status objects of the user's daemons; skips malformed ones.
    ///
    /// # Errors
    ///
    /// Fails if the platform is unavailable.
    pub async fn statuses(&self) -> Result<Vec<DaemonStatusSummary>, StoreError> {
        let objects = self.store.list(&format!("status/{}/", self.user)).await?;
        let values = objects.into_iter().map(|o| o.value);
        Ok(values
            .filter_map(|value| serde_json::from_value(value).ok())
            .collect())
    }

    /// Replaces the whole stored tree.
    ///
    /// # Errors
    ///
    /// Fails like [`submit`](Self::submit).
    pub async fn apply(&self, tree: Node) -> Result<AcceptedEdit, EditError> {
        let base = self.read().await?;
        self.submit(&base, &tree).await
    }

    /// Submits the changes from `base` to `wanted` as one edit.
    ///
    /// Edits of other settings that were stored since `base` was read are kept.
    ///
    /// # Errors
    ///
    /// Fails if the tree is not valid, if another edit changed the same setting, if the store was
    /// reset to an older state, or if the platform stays unavailable.
    pub async fn submit(
        &self,
        base: &StoredSettings,
        wanted: &Node,
    ) -> Result<AcceptedEdit, EditError> {
        wanted
            .check()
            .map_err(|errors| EditError::Invalid { errors })?;
        let mut pending = PendingEdit {
            edit_id: format!("{:016x}", rand::rng().random::<u64>()).into(),
            base: &base.document,
            wanted,
            changes: SettingChange::between(&base.document.tree, wanted),
            unanswered: None,
        };
        let mut last_error = None;
        for attempt in 0..self.cfg.max_attempts {
            if attempt > 0 {
                tokio::time::sleep(self.cfg.retry_delay * attempt).await;
            }
            let outcome = match attempt {
                0 => self.try_submit(&mut pending, base).await,
                _ => match self.read().await {
                    Ok(current) => self.try_submit(&mut pending, &current).await,
                    Err(e) => Err(e),
                },
            };
            match outcome {
                Ok(edit) => return Ok(edit),
                Err(e) if is_retryable(&e) => last_error = Some(e),
                Err(e) => return Err(pending.classify(e)),
            }
        }
        let attempts = self.cfg.max_attempts;
        let e = last_error.unwrap_or(EditError::AttemptsExhausted { attempts });
        Err(match pending.classify(e) {
            EditError::Store {
                source: StoreError::Conflict { .. },
            } => EditError::AttemptsExhausted { attempts },
            e => e,
        })
    }

    /// Makes one attempt to write the edit on top of `current`.
    async fn try_submit(
        &self,
        pending: &mut PendingEdit<'_>,
        current: &StoredSettings,
    ) -> Result<AcceptedEdit, EditError> {
        let stored = &current.document;
        if self.cfg.read_back
            && let Some(version) = stored.version_of_edit(&pending.edit_id)
        {
            return Ok(pending.accepted(version));
        }
        pending.discard_outdated_write(current.revision);
        let floor = self.version_floor(pending.base, stored).await?;
        let tree = pending.merged_with(stored)?;
        if tree == stored.tree && current.revision.is_some() && floor == stored.version {
            pending.changes.clear();
            return Ok(pending.accepted(stored.version));
        }
        let next = stored.successor(pending.edit_id.clone(), tree, floor);
        ServiceCatalog::check(&next).map_err(|errors| EditError::Invalid { errors })?;
        let pre = current
            .revision
            .map_or(Precondition::Absent, Precondition::Revision);
        let value = to_value(&next)?;
        match self.store.put(&self.key(), value, pre).await {
            Ok(_) => Ok(pending.accepted(next.version)),
            Err(e @ StoreError::Unavailable { .. }) => {
                pending.unanswered = Some(UnansweredWrite {
                    source: e.clone(),
                    revision: current.revision,
                });
                Err(e.into())
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Returns the highest known version; the edit's version must be above it.
    ///
    /// Daemons refuse lower versions, so an edit of an older state would never be in force.
    async fn version_floor(
        &self,
        base: &Document,
        stored: &Document,
    ) -> Result<Version, EditError> {
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

impl PendingEdit<'_> {
    /// Discards the unanswered write if `revision`, which does not contain it, is newer than the
    /// write's precondition.
    ///
    /// The precondition can then no longer hold. A state at the precondition's own revision proves
    /// nothing: the write may still be in transit, or the read may be stale.
    fn discard_outdated_write(&mut self, revision: Option<u64>) {
        self.unanswered = self.unanswered.take().filter(|w| revision <= w.revision);
    }

    /// Returns the wanted tree merged with the changes that were stored since the base was read.
    fn merged_with(&self, stored: &Document) -> Result<Node, EditError> {
        if stored.tree == self.base.tree {
            return Ok(self.wanted.clone());
        }
        let merged = stored.tree.three_way_merge(&self.base.tree, self.wanted);
        merged.map_err(|conflicts| EditError::Conflict {
            version: stored.version,
            conflicts,
        })
    }

    fn accepted(&self, version: Version) -> AcceptedEdit {
        AcceptedEdit {
            version,
            changes: self.changes.clone(),
        }
    }

    /// Returns `e`, or an unknown outcome if an earlier write may still have been stored.
    fn classify(&self, e: EditError) -> EditError {
        match &self.unanswered {
            Some(write) => EditError::OutcomeUnknown {
                edit_id: self.edit_id.clone(),
                source: write.source.clone(),
            },
            None => e,
        }
    }
}

/// Returns whether a further attempt can succeed.
///
/// A store that appears to hold an older version may be a stale read.
fn is_retryable(e: &EditError) -> bool {
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
        errors: vec![SettingsError::new("$", &found, &expected)],
    })
}
