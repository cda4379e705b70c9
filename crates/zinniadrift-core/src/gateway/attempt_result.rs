use std::time::Duration;

use bytes::Bytes;

use super::AttemptId;

/// The result of an attempt, as the driver observed it on the connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// A response arrived that is complete according to its framing.
    Complete {
        /// The HTTP status.
        status: u16,
        /// The complete body.
        body: Bytes,
        /// The attempt id in the response, if the target echoes it. A response with the id of
        /// another attempt is never delivered.
        echo: Option<AttemptId>,
    },
    /// The target refused the request because all its slots are busy; the work was not started.
    Shed {
        /// The retry-after time that the target sent.
        retry_after: Option<Duration>,
    },
    /// The target refused the request before it started the work for another reason, such as
    /// draining.
    RefusedBeforeStart,
    /// No connection could be opened, so no byte was sent.
    ConnectFailed,
    /// The response ended before it was complete according to its framing.
    Truncated,
    /// The connection closed after the request was sent and before a response arrived.
    ConnectionLost,
    /// The connection made no progress for `progress_timeout_ms`.
    NoProgress,
}

impl AttemptResult {
    /// Returns whether the target refused the request before it started the work.
    pub const fn is_refusal(&self) -> bool {
        matches!(self, Self::Shed { .. } | Self::RefusedBeforeStart)
    }

    /// Returns whether the result proves that the work was not started.
    pub const fn proves_not_run(&self) -> bool {
        matches!(
            self,
            Self::Shed { .. } | Self::RefusedBeforeStart | Self::ConnectFailed
        )
    }
}
