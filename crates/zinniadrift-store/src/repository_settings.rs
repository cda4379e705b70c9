use std::time::Duration;

/// The retry limits and the mechanisms of a [`SettingsRepository`](crate::SettingsRepository).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RepositorySettings {
    /// The maximum number of attempts at one edit; a failed read counts as an attempt.
    pub max_attempts: u32,
    /// The delay before the first retry; the delay before the n-th retry is n times as long.
    pub retry_delay: Duration,
    /// Whether an edit may replace a store that was reset to an older state; the edit then gets a
    /// version above those that the daemons report.
    pub recover: bool,
    /// Whether the repository looks for the edit's id in the stored document after a write without
    /// an answer. Tests switch this off to show which faults it prevents.
    pub read_back: bool,
}

impl Default for RepositorySettings {
    fn default() -> Self {
        Self {
            max_attempts: 8,
            retry_delay: Duration::from_millis(100),
            recover: false,
            read_back: true,
        }
    }
}
