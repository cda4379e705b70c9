//! The commands, one module each.

pub(crate) mod serve;
pub(crate) mod show;

use pico_args::Arguments;
use snafu::ResultExt;

use crate::timeline_error::{IoSnafu, TimelineError, UsageSnafu};

/// Fails if there are arguments that the command did not read.
fn reject_unused_arguments(args: Arguments) -> Result<(), TimelineError> {
    match args.finish().first() {
        Some(arg) => UsageSnafu {
            text: format!("unknown argument {}; see --help", arg.display()),
        }
        .fail(),
        None => Ok(()),
    }
}

/// Runs a future to completion on a new single-threaded runtime.
fn block_on<T>(fut: impl Future<Output = Result<T, TimelineError>>) -> Result<T, TimelineError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(IoSnafu {
            resource: "runtime",
        })?
        .block_on(fut)
}
