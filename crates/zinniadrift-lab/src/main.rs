//! Command-line program that runs test doubles and experiments.

mod cmd;
mod lab_error;

use std::process::ExitCode;

use lab_error::LabError;

const USAGE: &str = "\
Runs test doubles of zinniadrift's surroundings, and experiments.

Usage: zinniadrift-lab COMMAND [OPTIONS]

platform --listen IP:PORT            serve the platform's object API from memory
target --name NAME --listen IP:PORT [--slots N] [--service-ms N]
                                     serve flows and requests
flows --service IP:PORT --balancers IP:PORT,.. [--address IP] [--flows N] [--rounds N]
      [--interval-ms N] [--seed N]   open flows through the balancers
request --gateway IP:PORT --path PATH [--method M] [--key KEY] [--body TEXT]
                                     send one request through a gateway
measure NAME [--seed N] [--policy P] run an experiment and print its figures as JSON lines
report --out FILE [--seeds N] [--measure NAME]
                                     run all experiments and write one HTML page with plots

--version   print the version
--help      print this text";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("zinniadrift-lab: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn run() -> Result<(), LabError> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return Ok(());
    }
    if args.contains(["-V", "--version"]) {
        println!("zinniadrift-lab {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = args.subcommand()?;
    match command.as_deref() {
        Some("platform") => cmd::platform::execute(args),
        Some("target") => cmd::target::execute(args),
        Some("flows") => cmd::flows::execute(args),
        Some("measure") => cmd::measure::execute(args),
        Some("report") => cmd::report::execute(args),
        Some("request") => cmd::request::execute(args),
        _ => Err(LabError::Usage {
            text: "expected a command; see --help".into(),
        }),
    }
}
