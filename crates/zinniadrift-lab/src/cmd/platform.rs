//! Runs a platform double that serves the object API from memory.

use std::net::SocketAddr;

use pico_args::Arguments;
use tokio::net::TcpListener;

use zinniadrift_lab::doubles::serve_platform;
use zinniadrift_runtime::daemon::shutdown_signal;

use super::{block_on, finish};
use crate::lab_error::LabError;

pub(crate) fn execute(mut args: Arguments) -> Result<(), LabError> {
    let listen: SocketAddr = args.value_from_str("--listen")?;
    finish(args)?;
    block_on(async {
        let listener = TcpListener::bind(listen).await?;
        Ok(serve_platform(listener, shutdown_signal()).await?)
    })
}
