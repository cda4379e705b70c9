//! Runs an experiment and prints its figures as JSON lines.

use pico_args::Arguments;
use tracing_subscriber::EnvFilter;

use zinniadrift_lab::experiments::{EXPERIMENTS, Experiment};

use super::finish;
use crate::lab_error::LabError;

pub(crate) fn execute(mut args: Arguments) -> Result<(), LabError> {
    let seed: Option<u64> = args.opt_value_from_str("--seed")?;
    let policy: Option<String> = args.opt_value_from_str("--policy")?;
    let name: String = args.free_from_str()?;
    finish(args)?;
    log_to_stderr();
    let experiment = find(&name)?;
    for policy in select(experiment, policy.as_deref())? {
        for line in (experiment.run)(&policy, seed.unwrap_or(1)) {
            println!("{}", serde_json::to_string(&line).unwrap_or_default());
        }
    }
    Ok(())
}

/// Logs to standard error as `RUST_LOG` selects; at level `debug`, experiments log each broken
/// flow.
fn log_to_stderr() {
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
}

fn find(name: &str) -> Result<&'static Experiment, LabError> {
    EXPERIMENTS.iter().find(|e| e.name == name).ok_or_else(|| {
        let names: Vec<&str> = EXPERIMENTS.iter().map(|e| e.name).collect();
        LabError::Usage {
            text: format!("no measure {name}; expected one of {}", names.join(", ")).into(),
        }
    })
}

/// Returns the given policy, or all policies of the experiment if none is given.
fn select(experiment: &Experiment, policy: Option<&str>) -> Result<Vec<String>, LabError> {
    let Some(name) = policy else {
        let names = experiment.policies.iter();
        return Ok(names.map(|&name| name.to_owned()).collect());
    };
    if !experiment.policies.contains(&name) {
        (experiment.check_policy)(name).map_err(|reason| LabError::Usage {
            text: format!(
                "no policy {name} ({reason}); expected one of {}",
                experiment.policies.join(", ")
            )
            .into(),
        })?;
    }
    Ok(vec![name.to_owned()])
}
