//! Runs a target double that serves flows and requests.

use pico_args::Arguments;

use zinniadrift_lab::doubles::{TargetBehavior, TargetSettings, serve_target};
use zinniadrift_runtime::daemon::shutdown_signal;

use super::{ANSWER_PORT, block_on, finish};
use crate::lab_error::LabError;

pub(crate) fn execute(mut args: Arguments) -> Result<(), LabError> {
    let slots: Option<u32> = args.opt_value_from_str("--slots")?;
    let service_ms: Option<u64> = args.opt_value_from_str("--service-ms")?;
    let defaults = TargetBehavior::default();
    let cfg = TargetSettings {
        name: args.value_from_fn("--name", |s| Ok::<_, std::convert::Infallible>(s.into()))?,
        listen: args.value_from_str("--listen")?,
        caller_port: ANSWER_PORT,
        behavior: TargetBehavior {
            slots: slots.unwrap_or(defaults.slots),
            service_ms: service_ms.unwrap_or(defaults.service_ms),
            ..defaults
        },
    };
    finish(args)?;
    block_on(async { Ok(serve_target(cfg, shutdown_signal()).await?) })
}
