use std::collections::BTreeSet;

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use super::limits::MAX_ERRORS;
use super::{SettingsError, duplicate_keys, limits};

/// The result of a lenient deserialization, which reports all schema errors instead of the first.
#[derive(Debug)]
pub(super) struct LenientResult<T> {
    /// The value without its invalid parts; `None` if no value could be deserialized.
    pub(super) value: Option<T>,
    /// The JSON without its invalid parts.
    pub(super) json: Value,
    pub(super) errors: Vec<SettingsError>,
    /// The JSON paths of the invalid parts.
    pub(super) dropped: BTreeSet<String>,
}

/// Parses JSON text of limited size and stops at the first error; `root` is the text's JSON path.
pub(super) fn parse<T: DeserializeOwned>(json: &[u8], root: &str) -> Result<T, SettingsError> {
    limits::check_size(json, root)?;
    let mut de = serde_json::Deserializer::from_slice(json);
    let parsed = serde_path_to_error::deserialize(&mut de)
        .map_err(|e| to_settings_error(root, e.path(), &e.inner().to_string(), None))?;
    de.end()
        .map_err(|e| SettingsError::new(root, "text after the end", &e.to_string()))?;
    Ok(parsed)
}

/// Parses JSON text of limited size and reports every schema error; `root` is the text's JSON path.
pub(super) fn parse_lenient<T: DeserializeOwned>(json: &[u8], root: &str) -> LenientResult<T> {
    let fail = |error| LenientResult {
        value: None,
        json: Value::Null,
        errors: vec![error],
        dropped: BTreeSet::new(),
    };
    if let Err(error) = limits::check_size(json, root) {
        return fail(error);
    }
    match serde_json::from_slice::<Value>(json) {
        Ok(value) => {
            let mut result = from_value_lenient(value, root);
            result.errors.splice(0..0, duplicate_keys::find(json, root));
            result
        }
        Err(e) => fail(SettingsError::new(root, "the text", &format!("JSON; {e}"))),
    }
}

/// Deserializes a JSON value; each invalid part is reported and removed, then the rest is tried
/// again.
pub(super) fn from_value_lenient<T: DeserializeOwned>(
    mut json: Value,
    root: &str,
) -> LenientResult<T> {
    let mut errors = Vec::new();
    let mut dropped = BTreeSet::new();
    let value = loop {
        let e = match serde_path_to_error::deserialize::<_, T>(&json) {
            Ok(value) => break Some(value),
            Err(e) => e,
        };
        let text = e.inner().to_string();
        let keys: Vec<String> = e.path().iter().map(ToString::to_string).collect();
        let missing = missing_field(&text).map(|field| {
            let mut field_keys = keys.clone();
            field_keys.push(field.into());
            field_keys
        });
        // A field that was removed as invalid is not also reported as missing.
        if missing.is_none_or(|field_keys| !dropped.contains(&field_keys)) {
            errors.push(to_settings_error(root, e.path(), &text, Some(&json)));
        }
        if errors.len() >= MAX_ERRORS || !remove(&mut json, &keys) {
            break None;
        }
        dropped.insert(keys);
    };
    let dropped = dropped.iter().map(|keys| join_path(root, keys)).collect();
    LenientResult {
        value,
        json,
        errors,
        dropped,
    }
}

/// Converts an error of the parser; `json` is the whole value, if its syntax is valid.
pub(super) fn to_settings_error(
    root: &str,
    path: &Path,
    text: &str,
    json: Option<&Value>,
) -> SettingsError {
    let keys: Vec<String> = path.iter().map(ToString::to_string).collect();
    let json_path = join_path(root, &keys);
    if let Some(field) = missing_field(text) {
        return SettingsError::new(&format!("{json_path}.{field}"), "nothing", "a value");
    }
    let found = json.and_then(|json| lookup(json, path));
    let value = match text.split_once(", expected") {
        Some((found, _)) if found.starts_with("unknown field") => "an unknown field".into(),
        _ => found.map_or_else(|| "the value".into(), Value::to_string),
    };
    SettingsError::new(&json_path, &value, &describe_expected(text))
}

fn join_path(root: &str, keys: &[String]) -> String {
    keys.iter()
        .fold(root.to_owned(), |path, key| format!("{path}.{key}"))
}

fn missing_field(text: &str) -> Option<&str> {
    let rest = text.strip_prefix("missing field `")?;
    rest.split('`').next()
}

/// Derives a description of the accepted values from the parser's message.
fn describe_expected(text: &str) -> String {
    if text.contains("socket address") {
        return "an address and port, such as 127.0.0.1:80".into();
    }
    let expected = match text.rsplit_once("expected ") {
        Some((_, expected)) => expected,
        None => return format!("another value ({text})"),
    };
    // The parser appends the position in the text; the error has the JSON path instead.
    let expected = expected.split(" at line ").next().unwrap_or(expected);
    match expected {
        "u16" => "an integer from 0 to 65535".into(),
        "u32" => "an integer from 0 to 4294967295".into(),
        "u64" | "usize" => "an integer of at least 0".into(),
        "f64" => "a number".into(),
        "a map" => "an object".into(),
        other if other.starts_with("struct ") => "an object".into(),
        other => other.into(),
    }
}

fn lookup<'a>(json: &'a Value, path: &Path) -> Option<&'a Value> {
    path.iter().try_fold(json, |value, segment| match segment {
        Segment::Map { key } => value.get(key),
        Segment::Seq { index } => value.get(index),
        Segment::Enum { .. } | Segment::Unknown => None,
    })
}

/// Removes the value at `keys`, and returns whether there was one.
fn remove(json: &mut Value, keys: &[String]) -> bool {
    let Some((last, parents)) = keys.split_last() else {
        return false;
    };
    let mut value = json;
    for key in parents {
        match value.get_mut(key) {
            Some(next) => value = next,
            None => return false,
        }
    }
    match value {
        Value::Object(map) => map.remove(last).is_some(),
        _ => false,
    }
}
