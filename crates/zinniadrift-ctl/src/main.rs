//! Command-line program for operators: reads and edits the settings.

mod cmd;
mod ctl_error;

use std::process::ExitCode;

use cmd::{COMMANDS, Command};
use ctl_error::CtlError;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("zinniadrift-ctl: {e}");
            ExitCode::from(e.kind().response().exit_code)
        }
    }
}

fn run() -> Result<(), CtlError> {
    let mut args = pico_args::Arguments::from_env();
    let name = args.subcommand().ok().flatten();
    let command = match &name {
        Some(name) => Some(cmd::find_command(name)?),
        None => None,
    };
    if args.contains(["-h", "--help"]) {
        println!("{}", command.map_or_else(cmd::program_help, Command::help));
        return Ok(());
    }
    if args.contains(["-V", "--version"]) {
        println!("zinniadrift-ctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match command {
        Some(command) => (command.execute)(args),
        None => Err(CtlError::usage(format!(
            "no command; expected one of {}",
            COMMANDS.map(|c| c.name).join(", ")
        ))),
    }
}
