use std::time::Duration;

/// Configures how edits are submitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RepositorySettings {
    /// The attempts at one edit, each a write or a read that failed.
    pub max_attempts: u32,
    /// The delay after the first failed attempt; the n-th is n times as long.
    pub retry_delay: Duration,
    /// Whether the edit may replace an older state of the store, with a version above those that
    /// the daemons report.
    pub recover: bool,
    /// Whether a lost answer is settled by the edit's id; experiments switch this off to show what
    /// it prevents.
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
