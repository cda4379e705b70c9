use snafu::Snafu;

use zinniadrift_core::error::ErrorKind;
use zinniadrift_platform::{EditError, StoreError};

/// Tells why a command failed.
#[derive(Debug, Snafu)]
pub(crate) enum CtlError {
    #[snafu(display("{text}"))]
    Usage { text: Box<str> },
    #[snafu(display("cannot read {path}: {source}"))]
    ReadFile {
        path: Box<str>,
        source: std::io::Error,
    },
    #[snafu(display("{path}: {text}"))]
    InvalidFile { path: Box<str>, text: Box<str> },
    #[snafu(transparent)]
    Edit { source: EditError },
    #[snafu(transparent)]
    Store { source: StoreError },
    #[snafu(display("version {version} is not in force on {missing}"))]
    NotInForce { version: u64, missing: Box<str> },
}

impl CtlError {
    pub(crate) fn usage(text: impl Into<Box<str>>) -> Self {
        Self::Usage { text: text.into() }
    }

    pub(crate) const fn kind(&self) -> ErrorKind {
        match self {
            Self::Usage { .. } => ErrorKind::InvalidInput,
            Self::ReadFile { .. } => ErrorKind::NotFound,
            Self::InvalidFile { .. } => ErrorKind::InvalidSettings,
            Self::Edit {
                source: EditError::Invalid { .. },
            } => ErrorKind::InvalidSettings,
            Self::Edit {
                source: EditError::Store { source },
            }
            | Self::Store { source } => source.kind(),
            Self::NotInForce { .. } => ErrorKind::OutcomeUnknown,
        }
    }
}
