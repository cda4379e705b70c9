//! Collects the events of all processes into one time line.

mod cmd;
mod html;
mod timeline_error;

use std::process::ExitCode;

use timeline_error::TimelineError;

const USAGE: &str = "\
Collects the state changes of all zinniadrift processes and shows them in causal order.

Usage: zinniadrift-timeline COMMAND [OPTIONS]

serve --listen IP:PORT [--capacity N]  collect events in memory; the oldest are forgotten first
show --from IP:PORT [--zone Z] [--host H] [--service S] [--flow F] [--request R] [--kind K]
     [--json | --html FILE]            print the selected events as text, JSON lines or HTML lanes

--version   print the version
--help      print this text";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("zinniadrift-timeline: {e}");
            ExitCode::from(e.kind().response().exit_code)
        }
    }
}

fn run() -> Result<(), TimelineError> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return Ok(());
    }
    if args.contains(["-V", "--version"]) {
        println!("zinniadrift-timeline {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match args.subcommand()?.as_deref() {
        Some("serve") => cmd::serve::execute(args),
        Some("show") => cmd::show::execute(args),
        _ => timeline_error::UsageSnafu {
            text: "expected a command; see --help",
        }
        .fail(),
    }
}
