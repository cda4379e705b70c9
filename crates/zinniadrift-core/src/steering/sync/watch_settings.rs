use std::time::Duration;

/// The timing of [`WatchLoop`](crate::steering::WatchLoop).
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// The maximum wait of one watch call.
    pub watch_wait: Duration,
    /// The pause after a change, so that one call collects changes that follow each other closely.
    pub coalesce_delay: Duration,
    /// The first pause after a failed call; it doubles up to `retry_max`.
    pub retry_min: Duration,
    /// The maximum pause after failed calls.
    pub retry_max: Duration,
}

/// The time that a slow store, the hops through peers and a slow processor add to the interval
/// between two confirmations.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(800);

impl WatchSettings {
    /// Returns the age within which knowledge is confirmed again while the store responds.
    pub fn expected_max_age(&self) -> Duration {
        self.watch_wait + CONFIRMATION_DELAY
    }
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(4),
            coalesce_delay: Duration::from_millis(400),
            retry_min: Duration::from_millis(100),
            retry_max: Duration::from_secs(1),
        }
    }
}
