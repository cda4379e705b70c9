use derive_more::Display;

const SHOWN_CHARS: usize = 80;

/// Describes one fault of a settings tree.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{path}: {value} is not accepted; expected {expected}")]
pub struct SettingsError {
    /// The JSON path of the value.
    pub path: Box<str>,
    /// The value as JSON text, shortened if it is long.
    pub value: Box<str>,
    /// What would be accepted.
    pub expected: Box<str>,
}

impl SettingsError {
    /// Returns a fault; a long value is shortened.
    pub fn new(path: &str, value: &str, expected: &str) -> Self {
        let value = match value.char_indices().nth(SHOWN_CHARS) {
            Some((end, _)) => format!("{}...", &value[..end]).into(),
            None => value.into(),
        };
        Self {
            path: path.into(),
            value,
            expected: expected.into(),
        }
    }
}

impl std::error::Error for SettingsError {}
