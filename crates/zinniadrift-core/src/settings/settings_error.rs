use derive_more::Display;

/// The maximum number of characters of a value in an error.
const MAX_VALUE_CHARS: usize = 80;

/// A value of a settings tree or document that is not valid.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{path}: {value} is not accepted; expected {expected}")]
pub struct SettingsError {
    /// The JSON path of the value.
    pub path: Box<str>,
    /// The value as JSON text or a description of it, truncated if it is long.
    pub value: Box<str>,
    /// A description of the values that are accepted.
    pub expected: Box<str>,
}

impl SettingsError {
    /// Returns an error; a long value is truncated.
    pub fn new(path: &str, value: &str, expected: &str) -> Self {
        let value = match value.char_indices().nth(MAX_VALUE_CHARS) {
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
