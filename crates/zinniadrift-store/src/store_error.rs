use snafu::Snafu;

use zinniadrift_core::error::ErrorKind;

/// The reason why a call to the platform failed.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The platform did not answer; a write may have taken effect.
    #[snafu(display("the platform did not answer: {reason}"))]
    Unavailable {
        /// The transport error, or the platform's answer if it was not usable.
        reason: Box<str>,
    },
    /// The precondition did not hold; nothing was written.
    #[snafu(display("object {key} was changed by another writer"))]
    Conflict {
        /// The object's key.
        key: Box<str>,
    },
    /// The platform refused the call; nothing was written.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
}

impl StoreError {
    /// Returns the error for a call without a usable answer.
    pub fn unavailable(reason: impl std::fmt::Display) -> Self {
        Self::Unavailable {
            reason: reason.to_string().into(),
        }
    }

    /// Returns the error kind, which determines the answer to the caller or the exit code.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Unavailable { .. } => ErrorKind::PlatformUnavailable,
            Self::Conflict { .. } => ErrorKind::Conflict,
            Self::Refused { .. } => ErrorKind::InvalidInput,
        }
    }
}
