use bytes::Bytes;

use crate::error::ErrorKind;

/// Is what a caller is told about its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request ran; this is the target's complete response.
    Done {
        /// The HTTP status of the target's response.
        status: u16,
        /// The complete body.
        body: Bytes,
    },
    /// The request was not run, with proof.
    NotRun {
        /// Why it was not run.
        kind: ErrorKind,
        /// The time in milliseconds after which to come back.
        retry_after_ms: u64,
    },
    /// The request may have run.
    Unknown {
        /// Why that is so: `DuplicateRequest` or `OutcomeUnknown`.
        kind: ErrorKind,
    },
}
