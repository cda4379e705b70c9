use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Keys that a log holds; later keys are not recorded.
const MAX_KEYS: usize = 1_000_000;

/// Counts how often a target ran the work of each idempotency key.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<BTreeMap<Box<str>, RunCounts>>,
}

/// Counts the runs of one key.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCounts {
    /// Runs that were started.
    pub started: u32,
    /// Runs that ended with a response.
    pub finished: u32,
    /// Runs that were cancelled by the caller's side.
    pub cancelled: u32,
}

/// Records the end of one run; a run that is dropped before its end counts as cancelled.
#[derive(Debug)]
pub struct RunGuard<'a> {
    log: &'a RunLog,
    key: Box<str>,
    finished: bool,
}

impl RunLog {
    /// Records the start of a run.
    pub fn start(&self, key: &str) -> RunGuard<'_> {
        let mut runs = self.runs.lock();
        if runs.len() < MAX_KEYS || runs.contains_key(key) {
            runs.entry(key.into()).or_default().started += 1;
        }
        RunGuard {
            log: self,
            key: key.into(),
            finished: false,
        }
    }

    /// Returns the runs of all keys.
    pub fn snapshot(&self) -> BTreeMap<Box<str>, RunCounts> {
        self.runs.lock().clone()
    }
}

impl RunGuard<'_> {
    /// Records that the run ended with a response.
    pub fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut runs = self.log.runs.lock();
        if let Some(runs) = runs.get_mut(&self.key) {
            runs.finished += u32::from(self.finished);
            runs.cancelled += u32::from(!self.finished);
        }
    }
}
