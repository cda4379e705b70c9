use super::SettingsError;

/// The largest size of a settings document in bytes, as the platform accepts no larger value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The maximum number of levels of nodes in a tree.
///
/// Each level takes two levels of JSON nesting, of which the parser accepts 128.
pub const MAX_DEPTH: usize = 32;

/// The maximum length of the name of a node, a target or an availability zone in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The maximum number of errors that a check reports.
pub const MAX_ERRORS: usize = 100;

/// Checks that a document does not exceed [`MAX_DOCUMENT_BYTES`]; `root` is its JSON path.
pub(super) fn check_size(json: &[u8], root: &str) -> Result<(), SettingsError> {
    if json.len() <= MAX_DOCUMENT_BYTES {
        return Ok(());
    }
    Err(SettingsError::new(
        root,
        &format!("a text of {} bytes", json.len()),
        &format!("at most {MAX_DOCUMENT_BYTES} bytes"),
    ))
}

/// Returns whether `name` is a valid name of a node, a target or an availability zone.
pub(super) fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

/// The description of what [`is_name`] accepts, for error messages.
pub(super) const NAME_RULE: &str = "a name of 1 to 63 characters a-z, 0-9 and '-'";
