use std::time::Duration;

use bytes::Bytes;

use super::AttemptId;

/// Is how an attempt ended, as the driver saw it on the connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// A response arrived that its framing declares complete.
    Complete {
        /// The HTTP status.
        status: u16,
        /// The complete body.
        body: Bytes,
        /// The attempt that the response names, if the target echoes it. A response that names
        /// another attempt is never delivered.
        echo: Option<AttemptId>,
    },
    /// The target declined because all its slots are busy; the work was not started.
    Shed {
        /// The target's own retry-after time.
        retry_after: Option<Duration>,
    },
    /// The target declined for another reason before it started, such as draining.
    RefusedBeforeStart,
    /// No connection could be opened, so no byte was sent.
    ConnectFailed,
    /// The response ended before its framing allowed.
    Truncated,
    /// The connection ended after the request was sent and before a response arrived.
    ConnectionLost,
    /// The connection made no progress for `progress_timeout_ms`.
    NoProgress,
}

impl AttemptResult {
    /// Tells whether the result proves that the work was not started.
    pub const fn proves_not_run(&self) -> bool {
        matches!(
            self,
            Self::Shed { .. } | Self::RefusedBeforeStart | Self::ConnectFailed
        )
    }
}
