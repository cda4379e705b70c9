use bytes::Bytes;

use crate::error::ErrorKind;

/// The outcome of a request, as reported to its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request ran, and the target's response is complete.
    Done {
        /// The HTTP status of the target's response.
        status: u16,
        /// The complete body.
        body: Bytes,
    },
    /// The request is proven not to have run.
    NotRun {
        /// The reason why the request was not run.
        kind: ErrorKind,
        /// The time in milliseconds after which the caller may retry.
        retry_after_ms: u64,
    },
    /// The request may have run.
    Unknown {
        /// The reason: `DuplicateRequest` or `OutcomeUnknown`.
        kind: ErrorKind,
    },
}
