use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Lists every kind of error that zinniadrift reports.
///
/// The list is closed; [`ErrorKind::response`](crate::error::ErrorResponse) maps each kind to what the caller or
/// operator is told.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The command line or the request is malformed.
    #[display("invalid input")]
    InvalidInput,
    /// The settings tree does not pass its checks.
    #[display("invalid settings")]
    InvalidSettings,
    /// The named service, node or object does not exist.
    #[display("not found")]
    NotFound,
    /// Another edit changed the same setting first.
    #[display("conflicting edit")]
    Conflict,
    /// The platform does not answer.
    #[display("platform unavailable")]
    PlatformUnavailable,
    /// The service has no target that can take work.
    #[display("no target available")]
    NoTarget,
    /// The system sheds work because its queues are full.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed before the work was started.
    #[display("deadline exceeded before start")]
    DeadlineBeforeStart,
    /// The daemon is shutting down and takes no new work.
    #[display("shutting down")]
    ShuttingDown,
    /// A request with the same idempotency key exists already.
    #[display("duplicate request")]
    DuplicateRequest,
    /// The work may have been run; its result is not known.
    #[display("outcome unknown")]
    OutcomeUnknown,
    /// A message or datagram does not decode.
    #[display("malformed message")]
    MalformedMessage,
    /// An unexpected failure inside the process.
    #[display("internal error")]
    Internal,
}

impl ErrorKind {
    /// Holds every kind, for tables and their tests.
    pub const ALL: [Self; 13] = [
        Self::InvalidInput,
        Self::InvalidSettings,
        Self::NotFound,
        Self::Conflict,
        Self::PlatformUnavailable,
        Self::NoTarget,
        Self::Overloaded,
        Self::DeadlineBeforeStart,
        Self::ShuttingDown,
        Self::DuplicateRequest,
        Self::OutcomeUnknown,
        Self::MalformedMessage,
        Self::Internal,
    ];
}
