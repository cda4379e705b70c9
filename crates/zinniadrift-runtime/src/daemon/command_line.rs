use std::path::PathBuf;
use std::process::ExitCode;

use super::daemon_error::UsageSnafu;
use super::{DaemonError, DaemonSettings, init_logs};

/// The command-line arguments that all daemons accept.
#[derive(Clone, Debug)]
pub struct CommandLine {
    /// The requested action.
    pub mode: Mode,
    /// Whether logs are written as JSON.
    pub json_logs: bool,
}

/// The action that a daemon was asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Check the settings file and exit.
    CheckConfig(PathBuf),
    /// Run with this settings file.
    Run(PathBuf),
}

impl CommandLine {
    /// Parses command-line arguments.
    ///
    /// # Errors
    ///
    /// Fails if `--config` is missing or has no usable value, or if an argument is unknown.
    pub fn parse(mut args: pico_args::Arguments) -> Result<Self, DaemonError> {
        let json_logs = args.contains("--json-logs");
        if args.contains(["-h", "--help"]) {
            return Ok(Self {
                mode: Mode::Help,
                json_logs,
            });
        }
        if args.contains(["-V", "--version"]) {
            return Ok(Self {
                mode: Mode::Version,
                json_logs,
            });
        }
        let check = args.contains("--check-config");
        let path: PathBuf = args.value_from_str("--config").map_err(|e| {
            UsageSnafu {
                text: e.to_string(),
            }
            .build()
        })?;
        let rest = args.finish();
        if let Some(arg) = rest.first() {
            let text = format!("unknown argument {}; see --help", arg.display());
            return UsageSnafu { text }.fail();
        }
        let mode = if check {
            Mode::CheckConfig(path)
        } else {
            Mode::Run(path)
        };
        Ok(Self { mode, json_logs })
    }
}

/// Runs the program `name`: parses the command line, loads the settings and runs `daemon` until it
/// ends.
pub fn run<F>(name: &str, about: &str, daemon: F) -> ExitCode
where
    F: AsyncFnOnce(DaemonSettings) -> Result<(), DaemonError>,
{
    exit_code(name, try_run(name, about, daemon))
}

/// Returns the exit code for `result` and prints an error, if any, to standard error after `name`.
pub fn exit_code(name: &str, result: Result<(), DaemonError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::from(e.kind().response().exit_code)
        }
    }
}

fn try_run<F>(name: &str, about: &str, daemon: F) -> Result<(), DaemonError>
where
    F: AsyncFnOnce(DaemonSettings) -> Result<(), DaemonError>,
{
    let cmd = CommandLine::parse(pico_args::Arguments::from_env())?;
    let path = match cmd.mode {
        Mode::Help => {
            println!(
                "{about}\n\nUsage: {name} --config FILE [--check-config] [--json-logs]\n\n\
                 --config FILE    settings of this daemon (JSON)\n\
                 --check-config   check the settings file and exit\n\
                 --json-logs      write logs as JSON lines\n\
                 --version        print the version\n\
                 --help           print this text"
            );
            return Ok(());
        }
        Mode::Version => {
            println!("{name} {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Mode::CheckConfig(path) => {
            DaemonSettings::load(&path)?;
            println!("{}: accepted", path.display());
            return Ok(());
        }
        Mode::Run(path) => path,
    };
    let cfg = DaemonSettings::load(&path)?;
    init_logs(cmd.json_logs);
    let runtime = tokio::runtime::Runtime::new().map_err(|source| DaemonError::Bind {
        address: "runtime".into(),
        source,
    })?;
    runtime.block_on(daemon(cfg))
}
