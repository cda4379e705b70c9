use derive_more::Display;

/// Describes one fault of a settings tree.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{path}: {value} is not accepted; expected {expected}")]
pub struct SettingsError {
    /// The JSON path of the value.
    pub path: Box<str>,
    /// The value as JSON text.
    pub value: Box<str>,
    /// What would be accepted.
    pub expected: Box<str>,
}

impl std::error::Error for SettingsError {}
