use std::fmt;

use serde_json::Value;

use super::setting_change::Shown;
use super::{Node, SettingChange, SettingPath};

/// Is a setting that two edits changed to different values.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingConflict {
    /// The setting.
    pub path: SettingPath,
    /// The value on which both edits are based.
    pub base: Option<Value>,
    /// The value that is stored now.
    pub stored: Option<Value>,
    /// The value of the edit that came later.
    pub wanted: Option<Value>,
}

impl fmt::Display for SettingConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        let [base, stored, wanted] =
            [&self.base, &self.stored, &self.wanted].map(|v| Shown(v.as_ref()));
        write!(
            f,
            "{path}: stored {stored}, wanted {wanted}, both based on {base}"
        )
    }
}

impl Node {
    /// Carries the changes from `base` to `wanted` over to `self`, the tree stored now.
    ///
    /// The result is not checked.
    ///
    /// # Errors
    ///
    /// Returns the settings that changed differently from `base` to `self`.
    pub fn three_way_merge(
        &self,
        base: &Self,
        wanted: &Self,
    ) -> Result<Self, Vec<SettingConflict>> {
        let ours = SettingChange::between(base, wanted);
        let theirs = SettingChange::between(base, self);
        let mut conflicts = conflicts_of(&ours, &theirs);
        let removed = ours.iter().filter(|c| self.lost_node_of(base, c));
        conflicts.extend(removed.map(SettingConflict::with_removed));
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.with_changes(&ours)
    }

    /// Returns this tree with the changes applied, whatever values they were based on.
    ///
    /// # Errors
    ///
    /// Returns the changes as conflicts if the result does not have the shape of a tree, such as a
    /// change of a target that was removed.
    pub fn with_changes(&self, changes: &[SettingChange]) -> Result<Self, Vec<SettingConflict>> {
        let mut json = serde_json::to_value(self).unwrap_or_default();
        SettingChange::apply_all(changes, &mut json);
        serde_json::from_value(json)
            .map_err(|_| changes.iter().map(SettingConflict::with_removed).collect())
    }

    /// Tells whether a change sets something in a node of `base` that this tree no longer has.
    fn lost_node_of(&self, base: &Self, change: &SettingChange) -> bool {
        let (names, _) = change.path.split();
        let node = names.join("/");
        change.before.is_none()
            && base.descendant(&node).is_some()
            && self.descendant(&node).is_none()
    }
}

impl SettingConflict {
    fn with_removed(change: &SettingChange) -> Self {
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
