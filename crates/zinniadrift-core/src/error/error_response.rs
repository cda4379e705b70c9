use super::ErrorKind;

/// The advice to a caller whether to retry after an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAdvice {
    /// A retry with the same input fails again.
    Never,
    /// A retry with the same input may succeed after the given time in milliseconds.
    AfterMillis(u64),
    /// The work may have been run; only the retry of an idempotent request is safe.
    OnlyIfIdempotent,
}

/// How one kind of error is reported to callers and operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// The HTTP status code.
    pub http_status: u16,
    /// The exit code of command-line programs.
    pub exit_code: u8,
    /// Whether and when to retry.
    pub retry: RetryAdvice,
    /// Whether the work is certain not to have been run.
    pub not_run: bool,
}

impl ErrorKind {
    /// Returns the response to this kind of error.
    pub const fn response(self) -> ErrorResponse {
        use RetryAdvice::{AfterMillis, Never, OnlyIfIdempotent};
        let (http_status, exit_code, retry, not_run) = match self {
            Self::InvalidInput => (400, 2, Never, true),
            Self::InvalidSettings => (422, 3, Never, true),
            Self::NotFound => (404, 4, Never, true),
            Self::Conflict => (409, 5, Never, true),
            Self::PlatformUnavailable => (503, 6, AfterMillis(2_000), true),
            Self::NoTarget => (503, 7, AfterMillis(1_000), true),
            Self::Overloaded => (503, 8, AfterMillis(1_000), true),
            Self::DeadlineBeforeStart => (503, 9, AfterMillis(1_000), true),
            Self::ShuttingDown => (503, 10, AfterMillis(100), true),
            Self::DuplicateRequest => (409, 11, Never, false),
            Self::OutcomeUnknown => (502, 12, OnlyIfIdempotent, false),
            Self::MalformedMessage => (400, 13, Never, true),
            Self::Internal => (500, 14, OnlyIfIdempotent, false),
        };
        ErrorResponse {
            http_status,
            exit_code,
            retry,
            not_run,
        }
    }
}
