//! Collects events in memory and serves them until the process receives a shutdown signal.

use std::net::SocketAddr;
use std::sync::Arc;

use pico_args::Arguments;
use snafu::ResultExt;
use tokio::net::TcpListener;

use zinniadrift_runtime::daemon::shutdown_signal;
use zinniadrift_runtime::timeline::{Collector, DEFAULT_CAPACITY, serve_collector};

use super::{block_on, reject_unused_arguments};
use crate::timeline_error::{IoSnafu, TimelineError};

pub(crate) fn execute(mut args: Arguments) -> Result<(), TimelineError> {
    let listen: SocketAddr = args.value_from_str("--listen")?;
    let capacity: Option<usize> = args.opt_value_from_str("--capacity")?;
    reject_unused_arguments(args)?;
    let collector = Arc::new(Collector::new(capacity.unwrap_or(DEFAULT_CAPACITY)));
    block_on(async {
        let listener = TcpListener::bind(listen).await.context(IoSnafu {
            resource: listen.to_string(),
        })?;
        Ok(serve_collector(listener, collector, shutdown_signal()).await?)
    })
}
