//! Serves flows and requests as a target.

use pico_args::Arguments;

use zinniadrift_lab::doubles::{TargetSettings, serve_target};
use zinniadrift_runtime::daemon::shutdown_signal;

use super::{ANSWER_PORT, block_on, finish};
use crate::lab_error::LabError;

pub(crate) fn execute(mut args: Arguments) -> Result<(), LabError> {
    let cfg = TargetSettings {
        name: args.value_from_fn("--name", |s| Ok::<_, std::convert::Infallible>(s.into()))?,
        listen: args.value_from_str("--listen")?,
        caller_port: ANSWER_PORT,
    };
    finish(args)?;
    block_on(async { Ok(serve_target(cfg, shutdown_signal()).await?) })
}
