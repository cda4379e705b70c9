use super::SettingsError;

/// The largest settings document in bytes; the platform takes no larger value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The most levels of nodes in a tree. Each level takes two levels of JSON, of which the parser
/// accepts 128.
pub const MAX_DEPTH: usize = 32;

/// The longest name of a node, a target or an availability zone in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The most faults that one check reports.
pub const MAX_ERRORS: usize = 100;

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

/// Tells whether `name` can name a node, a target or an availability zone.
pub(super) fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

/// Says what [`is_name`] accepts.
pub(super) const NAME_RULE: &str = "a name of 1 to 63 characters a-z, 0-9 and '-'";
