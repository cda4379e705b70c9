use std::io;

use snafu::Snafu;

use zinniadrift_core::error::ErrorKind;

/// Tells why a daemon could not start or had to stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DaemonError {
    /// The command line is malformed.
    #[snafu(display("{text}"))]
    Usage {
        /// What is wrong with it.
        text: Box<str>,
    },
    /// The settings file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    ReadSettings {
        /// The file's path.
        path: Box<str>,
        /// The cause.
        source: io::Error,
    },
    /// The settings file has a fault.
    #[snafu(display("{path}: {json_path}: {text}"))]
    InvalidSettings {
        /// The file's path.
        path: Box<str>,
        /// The JSON path of the value.
        json_path: Box<str>,
        /// What is wrong and what would be accepted.
        text: Box<str>,
    },
    /// A socket cannot be opened.
    #[snafu(display("cannot open {address}: {source}"))]
    Bind {
        /// The socket's address.
        address: Box<str>,
        /// The cause.
        source: io::Error,
    },
}

impl DaemonError {
    /// Returns the kind that decides the exit code.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Usage { .. } => ErrorKind::InvalidInput,
            Self::ReadSettings { .. } => ErrorKind::NotFound,
            Self::InvalidSettings { .. } => ErrorKind::InvalidSettings,
            Self::Bind { .. } => ErrorKind::Internal,
        }
    }
}
