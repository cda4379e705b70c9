use serde::de::DeserializeOwned;

use super::SettingsError;

/// The largest settings document in bytes; the platform takes no larger value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The most levels of nodes in a tree. Each level takes two levels of JSON, of which the parser
/// accepts 128.
pub const MAX_DEPTH: usize = 32;

/// Parses JSON text of limited size; `root` is the JSON path of the whole text.
pub(super) fn parse<T: DeserializeOwned>(json: &[u8], root: &str) -> Result<T, SettingsError> {
    if json.len() > MAX_DOCUMENT_BYTES {
        return Err(SettingsError {
            path: root.into(),
            value: format!("a text of {} bytes", json.len()).into(),
            expected: format!("at most {MAX_DOCUMENT_BYTES} bytes").into(),
        });
    }
    let mut de = serde_json::Deserializer::from_slice(json);
    let parsed = serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let at = e.path().to_string();
        let path = if at == "." {
            root.into()
        } else {
            format!("{root}.{at}")
        };
        SettingsError {
            path: path.into(),
            value: found_value(json, e.path()).into(),
            expected: e.inner().to_string().into(),
        }
    })?;
    de.end().map_err(|e| SettingsError {
        path: root.into(),
        value: "text after the end".into(),
        expected: e.to_string().into(),
    })?;
    Ok(parsed)
}

/// Returns the value at `path` as JSON text, shortened if it is long.
fn found_value(json: &[u8], path: &serde_path_to_error::Path) -> String {
    use serde_path_to_error::Segment;
    const SHOWN_CHARS: usize = 80;
    let Ok(root) = serde_json::from_slice::<serde_json::Value>(json) else {
        return "the text".into();
    };
    let mut value = &root;
    for segment in path {
        let next = match segment {
            Segment::Map { key } => value.get(key),
            Segment::Seq { index } => value.get(index),
            Segment::Enum { .. } | Segment::Unknown => None,
        };
        let Some(next) = next else { break };
        value = next;
    }
    let text = value.to_string();
    match text.char_indices().nth(SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
