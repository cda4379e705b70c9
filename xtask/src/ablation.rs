use std::collections::BTreeSet;

use snafu::Whatever;

use crate::journal::{Days, LabelledRuns};

/// The notes of runs that belong to the table begin with this word; the name of what is switched
/// off follows.
const NOTE_PREFIX: &str = "ablation ";
/// The name of the runs with everything switched on.
const COMPLETE: &str = "all-on";

/// The runs of an ablation: what each mechanism is worth on each site.
#[derive(Debug)]
pub(crate) struct Ablation(LabelledRuns);

impl Ablation {
    /// Reads the runs from the journal.
    pub(crate) fn read() -> Result<Self, Whatever> {
        LabelledRuns::read(NOTE_PREFIX).map(Self)
    }

    /// Prints a table of the worth that each mechanism adds, by site, over the days that were
    /// played with and without it.
    pub(crate) fn print(&self) {
        let Some(complete) = self.0.runs.get(COMPLETE) else {
            println!("no runs with the note \"{NOTE_PREFIX}{COMPLETE}\"");
            return;
        };
        let sites: BTreeSet<&str> = complete.keys().map(|s| &**s).collect();
        let header: Vec<&str> = sites.iter().copied().collect();
        println!("| Without | {} | Rules broken |", header.join(" | "));
        println!("| --- |{} --- |", " --- |".repeat(sites.len()));
        for (name, runs) in &self.0.runs {
            let mut broken = 0;
            let cells = sites.iter().map(|site| {
                let (with, without) = (complete.get(*site), runs.get(*site));
                let Some((with, without)) = with.zip(without) else {
                    return "not run".to_owned();
                };
                broken += without.values().filter(|d| !d.rules.is_empty()).count();
                cell(name, with, without)
            });
            let cells: Vec<String> = cells.collect();
            println!("| {name} | {} | {broken} |", cells.join(" | "));
        }
    }
}

/// Returns the mean worth of the complete runs, or the change of the mean without a mechanism.
fn cell(name: &str, with: &Days, without: &Days) -> String {
    let worths = without.iter().filter_map(|(day, without)| {
        let with = with.get(day)?;
        Some((with.worth?, without.worth?))
    });
    let worths: Vec<(f64, f64)> = worths.collect();
    let count = worths.len();
    let mean = |sum: f64| sum / count.max(1) as f64;
    if name == COMPLETE {
        let sum = worths.iter().map(|(with, _)| with).sum();
        return format!("{:.3} ({count} days)", mean(sum));
    }
    let change = worths.iter().map(|(with, without)| without - with).sum();
    format!("{:+.3} ({count})", mean(change))
}
