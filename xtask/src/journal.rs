use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use snafu::{ResultExt, Whatever};

const JOURNAL_DIR: &str = "journal";

/// A journal entry of the users' bench, as far as the tables need it.
#[derive(Debug, Deserialize)]
struct Entry {
    #[serde(default)]
    why: Option<Box<str>>,
    #[serde(default)]
    site: Option<Box<str>>,
    #[serde(default)]
    days: Vec<Day>,
}

/// A day that was played.
#[derive(Debug, Deserialize)]
pub(crate) struct Day {
    /// The worth of the day; none if it was not played to its end.
    #[serde(rename = "G")]
    pub(crate) worth: Option<f64>,
    name: Box<str>,
    /// None for a day that was drawn for one run.
    seed: Option<u64>,
    /// The share of requests that were refused.
    #[serde(default)]
    pub(crate) refused: f64,
    /// The share of requests that failed.
    #[serde(default)]
    pub(crate) failed: f64,
    /// The rules that were broken.
    #[serde(default)]
    pub(crate) rules: BTreeMap<String, serde_json::Value>,
}

/// The days of one variant on one site, by name and seed.
pub(crate) type Days = BTreeMap<(Box<str>, Option<u64>), Day>;

/// The runs whose notes begin with one prefix, by the rest of the note and by site.
#[derive(Debug, Default)]
pub(crate) struct LabelledRuns {
    pub(crate) runs: BTreeMap<Box<str>, BTreeMap<Box<str>, Days>>,
}

impl LabelledRuns {
    /// Reads the runs whose notes begin with `prefix` from the journal.
    pub(crate) fn read(prefix: &str) -> Result<Self, Whatever> {
        let mut labelled = Self::default();
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
            if !text.contains(prefix) {
                continue;
            }
            let entry: Entry = serde_json::from_str(&text)
                .with_whatever_context(|_| format!("cannot decode {}", path.display()))?;
            labelled.add(prefix, entry);
        }
        Ok(labelled)
    }

    fn add(&mut self, prefix: &str, entry: Entry) {
        let why = entry.why.as_deref();
        let Some(name) = why.and_then(|w| w.strip_prefix(prefix)) else {
            return;
        };
        // A run that was ended early names no site.
        let Some(site) = entry.site.filter(|_| !entry.days.is_empty()) else {
            return;
        };
        let sites = self.runs.entry(name.into()).or_default();
        let days = sites.entry(site).or_default();
        for day in entry.days {
            days.insert((day.name.clone(), day.seed), day);
        }
    }
}
