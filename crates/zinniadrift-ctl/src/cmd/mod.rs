//! Holds one module per command.

pub(crate) mod apply;
pub(crate) mod status;

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::ctl_error::CtlError;

/// Holds the arguments that every command takes.
pub(crate) struct Common {
    pub(crate) platform: SocketAddr,
    pub(crate) user: String,
}

impl Common {
    pub(crate) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let platform = args
            .value_from_str("--platform")
            .map_err(|e| CtlError::usage(e.to_string()))?;
        let user = args
            .value_from_str("--user")
            .map_err(|e| CtlError::usage(e.to_string()))?;
        Ok(Self { platform, user })
    }
}

/// Refuses arguments that no command took.
pub(crate) fn finish(args: Arguments) -> Result<(), CtlError> {
    match args.finish().first() {
        Some(arg) => Err(CtlError::usage(format!(
            "unknown argument {}",
            arg.display()
        ))),
        None => Ok(()),
    }
}

/// Runs a future on a runtime of its own.
pub(crate) fn block_on<T>(fut: impl Future<Output = Result<T, CtlError>>) -> Result<T, CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| CtlError::ReadFile {
            path: "runtime".into(),
            source,
        })?;
    runtime.block_on(fut)
}
