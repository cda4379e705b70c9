use snafu::Snafu;

use zinniadrift_core::error::ErrorKind;

/// The reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum TimelineError {
    #[snafu(display("{text}"))]
    Usage { text: Box<str> },
    #[snafu(context(false), display("{source}"))]
    Arguments { source: pico_args::Error },
    #[snafu(display("{resource}: {source}"))]
    Io {
        resource: Box<str>,
        source: std::io::Error,
    },
    #[snafu(context(false), display("{source}"))]
    Serve { source: tonic::transport::Error },
    #[snafu(display("the collector does not answer: {}", status.message()))]
    Fetch { status: Box<tonic::Status> },
}

impl TimelineError {
    /// Returns the error kind, which determines the exit code.
    pub(crate) const fn kind(&self) -> ErrorKind {
        match self {
            Self::Usage { .. } | Self::Arguments { .. } => ErrorKind::InvalidInput,
            Self::Io { .. } | Self::Serve { .. } => ErrorKind::Internal,
            Self::Fetch { .. } => ErrorKind::NotFound,
        }
    }
}
