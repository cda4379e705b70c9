use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// The maximum number of keys in a log; further keys are not recorded.
const MAX_KEYS: usize = 1_000_000;

/// The number of runs that a target executed for each idempotency key.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<BTreeMap<Box<str>, RunCounts>>,
}

/// The numbers of runs of one idempotency key.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCounts {
    /// The number of runs that were started.
    pub started: u32,
    /// The number of runs that ended with a response.
    pub finished: u32,
    /// The number of runs that were cancelled because the client closed the connection.
    pub cancelled: u32,
}

/// A guard that records the end of a run when it is dropped; a run that has not finished by then is
/// recorded as cancelled.
#[derive(Debug)]
pub struct RunGuard<'a> {
    log: &'a RunLog,
    key: Box<str>,
    finished: bool,
}

impl RunLog {
    /// Records the start of a run and returns the guard that records its end.
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

    /// Returns the numbers of runs of all keys.
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
