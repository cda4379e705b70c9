//! Shows the version in force on each daemon.

use pico_args::Arguments;

use super::command::Command;
use super::{CommonArgs, block_on, reject_unused_arguments};
use crate::ctl_error::CtlError;

pub(super) const COMMAND: Command = Command {
    name: "status",
    arguments: "",
    summary: "Prints the version in force on each daemon.",
    options: "",
    execute,
};

fn execute(mut args: Arguments) -> Result<(), CtlError> {
    let common = CommonArgs::parse(&mut args)?;
    reject_unused_arguments(args)?;
    block_on(async {
        for d in common.repository().statuses().await? {
            let state = d.state.as_deref().map(|s| format!(", {s}"));
            let state = state.unwrap_or_default();
            println!(
                "{} {} {}: version {}{state}",
                d.zone, d.role, d.name, d.version
            );
        }
        Ok(())
    })
}
