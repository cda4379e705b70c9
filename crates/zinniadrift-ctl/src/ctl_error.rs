use snafu::Snafu;

use zinniadrift_core::error::ErrorKind;
use zinniadrift_core::settings::SettingsError;
use zinniadrift_core::units::Version;
use zinniadrift_store::{EditError, StoreError};

/// The reason why a command failed.
#[derive(Debug, Snafu)]
pub(crate) enum CtlError {
    #[snafu(display("{text}"))]
    Usage { text: Box<str> },
    #[snafu(display("cannot read {path}: {source}"))]
    ReadFile {
        path: Box<str>,
        source: std::io::Error,
    },
    #[snafu(display("cannot start: {source}"))]
    Start { source: std::io::Error },
    #[snafu(display(
        "nothing was written; faults: {}{}",
        errors.len(),
        indented_lines(path, errors)
    ))]
    InvalidSettings {
        path: Box<str>,
        errors: Vec<SettingsError>,
    },
    #[snafu(display("{kind} {name} does not exist; expected one of {}", known.join(", ")))]
    NotFound {
        kind: &'static str,
        name: Box<str>,
        known: Vec<Box<str>>,
    },
    #[snafu(display(
        "version {stored} is stored, but the file is based on version {based_on}; nothing was \
         written. Run diff to see what differs"
    ))]
    VersionMismatch { stored: Version, based_on: Version },
    #[snafu(transparent)]
    Edit { source: EditError },
    #[snafu(transparent)]
    Store { source: StoreError },
    #[snafu(display("version {version} is not in force on {missing}"))]
    NotInForce { version: Version, missing: Box<str> },
}

impl CtlError {
    pub(crate) fn usage(text: impl Into<Box<str>>) -> Self {
        Self::Usage { text: text.into() }
    }

    /// Returns the error kind, which determines the exit code.
    pub(crate) const fn kind(&self) -> ErrorKind {
        match self {
            Self::Usage { .. } => ErrorKind::InvalidInput,
            Self::ReadFile { .. } | Self::NotFound { .. } => ErrorKind::NotFound,
            Self::Start { .. } => ErrorKind::Internal,
            Self::InvalidSettings { .. } => ErrorKind::InvalidSettings,
            Self::VersionMismatch { .. } => ErrorKind::Conflict,
            Self::Edit { source } => source.kind(),
            Self::Store { source } => source.kind(),
            Self::NotInForce { .. } => ErrorKind::OutcomeUnknown,
        }
    }
}

impl From<pico_args::Error> for CtlError {
    fn from(e: pico_args::Error) -> Self {
        Self::usage(format!("{e}; see --help"))
    }
}

fn indented_lines(path: &str, errors: &[SettingsError]) -> String {
    let errors = errors.iter();
    errors.map(|e| format!("\n  {path}: {e}")).collect()
}
