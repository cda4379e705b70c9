//! Runs the zinniadrift balancer daemon.

use std::process::ExitCode;

use zinniadrift_runtime::balancer::run_balancer;
use zinniadrift_runtime::daemon::run;

fn main() -> ExitCode {
    run(
        "zinniadrift-balancer",
        "Forwards packets of flows to targets.",
        run_balancer,
    )
}
