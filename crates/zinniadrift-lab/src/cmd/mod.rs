//! The commands, one module each.

pub(crate) mod flows;
pub(crate) mod measure;
pub(crate) mod platform;
pub(crate) mod report;
pub(crate) mod request;
pub(crate) mod target;

use pico_args::Arguments;

use crate::lab_error::LabError;

/// The UDP port on which caller doubles receive answers.
const ANSWER_PORT: u16 = 6_090;

/// Returns an error if arguments remain that the command did not parse.
fn finish(args: Arguments) -> Result<(), LabError> {
    match args.finish().first() {
        Some(arg) => Err(LabError::Usage {
            text: format!("unknown argument {}", arg.display()).into(),
        }),
        None => Ok(()),
    }
}

/// Runs a future to completion on a new single-threaded runtime.
fn block_on<T>(fut: impl Future<Output = Result<T, LabError>>) -> Result<T, LabError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(fut)
}
