//! Runs the zinniadrift gateway daemon.

use std::process::ExitCode;

use zinniadrift_runtime::daemon::run;
use zinniadrift_runtime::gateway::run_gateway;

fn main() -> ExitCode {
    run(
        "zinniadrift-gateway",
        "Dispatches requests to targets.",
        run_gateway,
    )
}
