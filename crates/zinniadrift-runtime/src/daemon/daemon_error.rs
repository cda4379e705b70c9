use std::io;

use snafu::Snafu;

use zinniadrift_core::error::ErrorKind;

/// An error that keeps a daemon from starting or makes it stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DaemonError {
    /// The command line is invalid.
    #[snafu(display("{text}"))]
    Usage {
        /// A description of the error.
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
    /// The settings file is invalid.
    #[snafu(display("{path}: {json_path}: {text}"))]
    InvalidSettings {
        /// The file's path.
        path: Box<str>,
        /// The JSON path of the value.
        json_path: Box<str>,
        /// A description of the error and of the accepted values.
        text: Box<str>,
    },
    /// A socket, a signal handler or the async runtime cannot be set up.
    #[snafu(display("cannot open {address}: {source}"))]
    Bind {
        /// The socket's address, or the name of the other resource.
        address: Box<str>,
        /// The cause.
        source: io::Error,
    },
}

impl DaemonError {
    /// Returns the kind of the error, which determines the exit code.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Usage { .. } => ErrorKind::InvalidInput,
            Self::ReadSettings { .. } => ErrorKind::NotFound,
            Self::InvalidSettings { .. } => ErrorKind::InvalidSettings,
            Self::Bind { .. } => ErrorKind::Internal,
        }
    }
}
