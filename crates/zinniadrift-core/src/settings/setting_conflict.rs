use std::fmt;

use serde_json::Value;

use super::setting_change::DisplayJson;
use super::{Node, SettingChange, SettingPath};

/// A setting that two concurrent edits changed to different values.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingConflict {
    /// The setting.
    pub path: SettingPath,
    /// The value in the tree that both edits are based on.
    pub base: Option<Value>,
    /// The value in the tree that is stored now.
    pub stored: Option<Value>,
    /// The value that the later edit sets.
    pub wanted: Option<Value>,
}

impl fmt::Display for SettingConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        let [base, stored, wanted] =
            [&self.base, &self.stored, &self.wanted].map(|v| DisplayJson(v.as_ref()));
        write!(
            f,
            "{path}: stored {stored}, wanted {wanted}, both based on {base}"
        )
    }
}

impl Node {
    /// Merges the changes from `base` to `wanted` into this tree, which was changed from `base` by
    /// other edits.
    ///
    /// The result is not checked.
    ///
    /// # Errors
    ///
    /// Returns the settings that were changed from `base` to different values.
    pub fn three_way_merge(
        &self,
        base: &Self,
        wanted: &Self,
    ) -> Result<Self, Vec<SettingConflict>> {
        let ours = SettingChange::between(base, wanted);
        let theirs = SettingChange::between(base, self);
        let mut conflicts = conflicts_of(&ours, &theirs);
        let removed = ours.iter().filter(|c| self.lacks_node_of(base, c));
        conflicts.extend(removed.map(SettingConflict::with_removed_node));
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.with_changes(&ours)
    }

    /// Returns this tree with the changes applied, regardless of the values they were based on.
    ///
    /// # Errors
    ///
    /// Returns the changes as conflicts if the result does not match the schema of a tree, for
    /// example if a change concerns a target that was removed.
    pub fn with_changes(&self, changes: &[SettingChange]) -> Result<Self, Vec<SettingConflict>> {
        let mut json = serde_json::to_value(self).unwrap_or_default();
        SettingChange::apply_all(changes, &mut json);
        serde_json::from_value(json).map_err(|_| {
            changes
                .iter()
                .map(SettingConflict::with_removed_node)
                .collect()
        })
    }

    /// Returns whether `change` adds a setting to a node of `base` that this tree no longer has.
    fn lacks_node_of(&self, base: &Self, change: &SettingChange) -> bool {
        let (names, _) = change.path.split();
        let node = names.join("/");
        change.before.is_none()
            && base.descendant(&node).is_some()
            && self.descendant(&node).is_none()
    }
}

impl SettingConflict {
    fn with_removed_node(change: &SettingChange) -> Self {
        Self {
            path: change.path.clone(),
            base: change.before.clone(),
            stored: None,
            wanted: change.after.clone(),
        }
    }
}

fn conflicts_of(ours: &[SettingChange], theirs: &[SettingChange]) -> Vec<SettingConflict> {
    ours.iter()
        .filter_map(|our| {
            let i = theirs.binary_search_by(|t| t.path.cmp(&our.path)).ok()?;
            let their = &theirs[i];
            (their.after != our.after).then(|| SettingConflict {
                path: our.path.clone(),
                base: our.before.clone(),
                stored: their.after.clone(),
                wanted: our.after.clone(),
            })
        })
        .collect()
}
