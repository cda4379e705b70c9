use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The kinds of error that zinniadrift reports.
///
/// The set is closed; [`ErrorKind::response`] maps each kind to the response that callers and
/// operators get.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The command line or the request is malformed.
    #[display("invalid input")]
    InvalidInput,
    /// The settings tree fails its checks.
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
    /// No target of the service can take work.
    #[display("no target available")]
    NoTarget,
    /// The work was shed because the queues are full.
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
    /// The work may have been run, and its result is unknown.
    #[display("outcome unknown")]
    OutcomeUnknown,
    /// A message or datagram could not be decoded.
    #[display("malformed message")]
    MalformedMessage,
    /// An unexpected failure inside the process.
    #[display("internal error")]
    Internal,
}

impl ErrorKind {
    /// Every kind of error, for tables and their tests.
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
