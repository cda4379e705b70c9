//! Runs the experiments and writes their figures as an HTML page.

use std::path::PathBuf;

use pico_args::Arguments;

use zinniadrift_lab::experiments::{EXPERIMENTS, Experiment, MeasureLine};
use zinniadrift_lab::report::{FigureTable, render_page};

use super::finish;
use crate::lab_error::LabError;

const DEFAULT_SEEDS: u64 = 3;

pub(crate) fn execute(mut args: Arguments) -> Result<(), LabError> {
    let out: PathBuf = args.value_from_str("--out")?;
    let seeds: Option<u64> = args.opt_value_from_str("--seeds")?;
    let only: Option<String> = args.opt_value_from_str("--measure")?;
    finish(args)?;
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    let lines = run_all(seeds, only.as_deref());
    let mut command = format!(
        "zinniadrift-lab report --out {} --seeds {seeds}",
        out.display()
    );
    if let Some(name) = &only {
        command.push_str(&format!(" --measure {name}"));
    }
    let page =
        render_page(&FigureTable::collect(&lines), &command).map_err(|e| LabError::Failed {
            text: e.to_string().into(),
        })?;
    std::fs::write(&out, page)?;
    println!("{}: {} figures", out.display(), lines.len());
    Ok(())
}

/// Runs the selected experiments one after another, with every policy and seed and one thread per
/// policy.
fn run_all(seeds: u64, only: Option<&str>) -> Vec<MeasureLine> {
    let selected = EXPERIMENTS
        .iter()
        .filter(|e| only.is_none_or(|name| name == e.name));
    selected
        .flat_map(|experiment| run_policies(experiment, seeds))
        .collect()
}

fn run_policies(experiment: &Experiment, seeds: u64) -> Vec<MeasureLine> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = experiment
            .policies
            .iter()
            .map(|policy| {
                scope.spawn(move || {
                    (1..=seeds)
                        .flat_map(|seed| (experiment.run)(policy, seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        runs.into_iter()
            .flat_map(|run| run.join().unwrap_or_default())
            .collect()
    })
}
