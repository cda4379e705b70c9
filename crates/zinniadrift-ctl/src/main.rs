//! Lets operators read and edit the settings.

mod cmd;
mod ctl_error;

use std::process::ExitCode;

use ctl_error::CtlError;

const USAGE: &str = "\
Reads and edits the settings tree in the platform.

Usage: zinniadrift-ctl COMMAND --platform IP:PORT --user NAME [OPTIONS]

apply --file FILE [--wait SECONDS]   replace the tree by the one in FILE
status                               show the version in force on each daemon

--version   print the version
--help      print this text";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("zinniadrift-ctl: {e}");
            ExitCode::from(e.kind().answer().exit_code)
        }
    }
}

fn run() -> Result<(), CtlError> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return Ok(());
    }
    if args.contains(["-V", "--version"]) {
        println!("zinniadrift-ctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = args.subcommand().ok().flatten();
    match command.as_deref() {
        Some("apply") => cmd::apply::execute(args),
        Some("status") => cmd::status::execute(args),
        _ => Err(CtlError::usage("expected a command; see --help")),
    }
}
