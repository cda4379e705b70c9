use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde::Deserialize;
use snafu::{ResultExt, Whatever};

const JOURNAL_DIR: &str = "journal";
/// The notes of runs that belong to the table begin with this word; the name of what is switched
/// off follows.
const NOTE_PREFIX: &str = "ablation ";
/// The name of the runs with everything switched on.
const COMPLETE: &str = "all-on";

/// A journal entry of the users' bench, as far as the table needs it.
#[derive(Debug, Deserialize)]
struct Entry {
    #[serde(default)]
    why: Option<Box<str>>,
    #[serde(default)]
    site: Option<Box<str>>,
    #[serde(default)]
    days: Vec<Day>,
}

#[derive(Debug, Deserialize)]
struct Day {
    /// The worth of the day; none if it was not played to its end.
    #[serde(rename = "G")]
    worth: Option<f64>,
    name: Box<str>,
    seed: u64,
    /// The rules that were broken.
    #[serde(default)]
    rules: BTreeMap<String, serde_json::Value>,
}

/// The days of one variant on one site, by name and seed.
type Days = BTreeMap<(Box<str>, u64), Day>;

/// The runs of an ablation: what each mechanism is worth on each site.
#[derive(Debug, Default)]
pub(crate) struct Ablation {
    runs: BTreeMap<Box<str>, BTreeMap<Box<str>, Days>>,
}

impl Ablation {
    /// Reads the runs from the journal.
    pub(crate) fn read() -> Result<Self, Whatever> {
        let mut ablation = Self::default();
        let dir = Path::new(JOURNAL_DIR);
        let files = dir.read_dir().whatever_context("cannot read the journal")?;
        let mut paths = Vec::new();
        for file in files {
            let file = file.whatever_context("cannot read the journal")?;
            paths.push(file.path());
        }
        // The names begin with the time: a later run of a day replaces an earlier one.
        paths.sort();
        for path in paths.iter().filter(|p| p.extension().is_some()) {
            let text = std::fs::read_to_string(path)
                .with_whatever_context(|_| format!("cannot read {}", path.display()))?;
            // Entries of other kinds of runs have other fields.
            if !text.contains(NOTE_PREFIX) {
                continue;
            }
            let entry: Entry = serde_json::from_str(&text)
                .with_whatever_context(|_| format!("cannot decode {}", path.display()))?;
            ablation.add(entry);
        }
        Ok(ablation)
    }

    fn add(&mut self, entry: Entry) {
        let Some(name) = entry
            .why
            .as_deref()
            .and_then(|w| w.strip_prefix(NOTE_PREFIX))
        else {
            return;
        };
        let site = entry.site.unwrap_or_default();
        let sites = self.runs.entry(name.into()).or_default();
        let days = sites.entry(site).or_default();
        for day in entry.days {
            days.insert((day.name.clone(), day.seed), day);
        }
    }

    /// Prints a table of the worth that each mechanism adds, by site, over the days that were
    /// played with and without it.
    pub(crate) fn print(&self) {
        let Some(complete) = self.runs.get(COMPLETE) else {
            println!("no runs with the note \"{NOTE_PREFIX}{COMPLETE}\"");
            return;
        };
        let sites: BTreeSet<&str> = complete.keys().map(|s| &**s).collect();
        let header: Vec<&str> = sites.iter().copied().collect();
        println!("| Without | {} | Rules broken |", header.join(" | "));
        println!("| --- |{} --- |", " --- |".repeat(sites.len()));
        for (name, runs) in &self.runs {
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
