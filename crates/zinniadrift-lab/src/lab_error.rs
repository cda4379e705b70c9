use snafu::Snafu;

use zinniadrift_core::error::ErrorKind;

/// An error of a command.
#[derive(Debug, Snafu)]
pub(crate) enum LabError {
    #[snafu(display("{text}"))]
    Usage { text: Box<str> },
    #[snafu(context(false), display("{source}"))]
    Arguments { source: pico_args::Error },
    #[snafu(context(false), display("{source}"))]
    Io { source: std::io::Error },
    #[snafu(display("{text}"))]
    Failed { text: Box<str> },
}

impl LabError {
    pub(crate) const fn exit_code(&self) -> u8 {
        let kind = match self {
            Self::Usage { .. } | Self::Arguments { .. } => ErrorKind::InvalidInput,
            Self::Io { .. } | Self::Failed { .. } => ErrorKind::Internal,
        };
        kind.response().exit_code
    }
}
