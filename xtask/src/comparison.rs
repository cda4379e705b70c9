use std::collections::BTreeSet;

use snafu::Whatever;

use crate::journal::{Day, Days, LabelledRuns};

/// The runs of the ways to make one decision.
///
/// Their notes are `compare DECISION WAY`.
#[derive(Debug)]
pub(crate) struct Comparison(LabelledRuns);

impl Comparison {
    /// Reads the runs of `decision` from the journal.
    pub(crate) fn read(decision: &str) -> Result<Self, Whatever> {
        LabelledRuns::read(&format!("compare {decision} ")).map(Self)
    }

    /// Prints, for each site, the figures of each way over the days that all ways played there.
    pub(crate) fn print(&self) {
        let ways = &self.0.runs;
        if ways.is_empty() {
            println!("no runs of this decision in the journal");
            return;
        }
        println!("| Site | Way | Days | Worth | Refused | Failed | Rules broken |");
        println!("| --- | --- | --- | --- | --- | --- | --- |");
        let sites: BTreeSet<&str> = ways.values().flat_map(|s| s.keys().map(|k| &**k)).collect();
        for site in sites {
            let of_site = ways.iter().filter_map(|(way, s)| Some((way, s.get(site)?)));
            let of_site: Vec<(&Box<str>, &Days)> = of_site.collect();
            for (way, days) in &of_site {
                let is_common = |key| of_site.iter().all(|(_, d)| d.contains_key(key));
                let common = days.iter().filter(|(key, _)| is_common(*key));
                let common: Vec<&Day> = common.map(|(_, day)| day).collect();
                println!("| {site} | {way} | {} |", figures(&common));
            }
        }
    }
}

fn figures(days: &[&Day]) -> String {
    let mean = |figure: fn(&Day) -> f64| {
        let sum: f64 = days.iter().map(|d| figure(d)).sum();
        sum / days.len().max(1) as f64
    };
    let worth = mean(|d| d.worth.unwrap_or_default());
    let (refused, failed) = (mean(|d| d.refused), mean(|d| d.failed));
    let broken = days.iter().filter(|d| !d.rules.is_empty()).count();
    format!(
        "{} | {worth:.4} | {refused:.4} | {failed:.4} | {broken}",
        days.len()
    )
}
