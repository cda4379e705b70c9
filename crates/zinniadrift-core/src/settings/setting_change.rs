use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Map, Value};

use super::{Node, SettingPath};

/// A setting that differs between two trees.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingChange {
    /// The path of the setting.
    pub path: SettingPath,
    /// The value in the first tree, if it has one.
    pub before: Option<Value>,
    /// The value in the second tree, if it has one.
    pub after: Option<Value>,
}

impl fmt::Display for SettingChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        let (before, after) = (
            DisplayJson(self.before.as_ref()),
            DisplayJson(self.after.as_ref()),
        );
        write!(f, "{path}: {before} -> {after}")
    }
}

/// A display adapter that shows an optional value as JSON text.
pub(super) struct DisplayJson<'a>(pub(super) Option<&'a Value>);

impl fmt::Display for DisplayJson<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("(none)"),
        }
    }
}

impl SettingChange {
    /// Returns the settings that differ between two trees, sorted by path.
    pub fn between(before: &Node, after: &Node) -> Vec<Self> {
        let mut old = settings_of(before);
        let mut changes = Vec::new();
        for (path, after) in settings_of(after) {
            let before = old.remove(&path);
            if before.as_ref() != Some(&after) {
                let after = Some(after);
                changes.push(Self {
                    path,
                    before,
                    after,
                });
            }
        }
        let removed = old.into_iter().map(|(path, before)| Self {
            path,
            before: Some(before),
            after: None,
        });
        changes.extend(removed);
        changes.sort_by(|a, b| a.path.cmp(&b.path));
        changes
    }

    /// Applies changes to the JSON form of a tree, removals first.
    ///
    /// The values before the changes are not compared.
    pub(super) fn apply_all(changes: &[Self], tree: &mut Value) {
        let (set, removed): (Vec<_>, Vec<_>) = changes.iter().partition(|c| c.after.is_some());
        for change in removed {
            remove(tree, change.path.keys());
        }
        for change in set {
            if let Some(value) = &change.after {
                insert(tree, change.path.keys(), value);
            }
        }
    }
}

/// Returns the settings of a tree, which are the values that are not objects and the empty objects.
fn settings_of(tree: &Node) -> BTreeMap<SettingPath, Value> {
    let mut settings = BTreeMap::new();
    let json = serde_json::to_value(tree).unwrap_or_default();
    collect(&json, &mut Vec::new(), &mut settings);
    settings
}

fn collect(json: &Value, keys: &mut Vec<Box<str>>, settings: &mut BTreeMap<SettingPath, Value>) {
    match json {
        Value::Object(map) if !map.is_empty() => {
            for (key, value) in map {
                keys.push(key.as_str().into());
                collect(value, keys, settings);
                keys.pop();
            }
        }
        // An empty tree has no settings.
        _ if keys.is_empty() => {}
        value => {
            settings.insert(SettingPath::new(keys.clone()), value.clone());
        }
    }
}

/// Sets the value at `keys`; setting an empty object does not replace an object that exists.
fn insert(json: &mut Value, keys: &[Box<str>], value: &Value) {
    let Some((key, rest)) = keys.split_first() else {
        if !(is_empty_object(value) && json.is_object()) {
            *json = value.clone();
        }
        return;
    };
    if !json.is_object() {
        *json = Value::Object(Map::new());
    }
    if let Value::Object(map) = json {
        insert(map.entry(&**key).or_insert(Value::Null), rest, value);
    }
}

/// Removes the value at `keys` and the parent objects that become empty; a value that is a
/// non-empty object is kept.
fn remove(json: &mut Value, keys: &[Box<str>]) {
    let (Some((key, rest)), Value::Object(map)) = (keys.split_first(), json) else {
        return;
    };
    let Some(value) = map.get_mut(&**key) else {
        return;
    };
    let is_leaf = rest.is_empty() && (!value.is_object() || is_empty_object(value));
    if !is_leaf {
        remove(value, rest);
    }
    if is_leaf || is_empty_object(value) {
        map.remove(&**key);
    }
}

fn is_empty_object(value: &Value) -> bool {
    value.as_object().is_some_and(Map::is_empty)
}
