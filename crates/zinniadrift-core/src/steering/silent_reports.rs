use std::time::Duration;

use hashbrown::HashMap;
use serde::{Deserialize, Serialize};

use crate::units::MonoTime;

/// Is a target that a balancer found dead.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SilentTarget {
    /// The target's name.
    pub name: Box<str>,
    /// The time since it was found dead.
    pub age: Duration,
}

/// Remembers which targets this balancer or a peer found dead lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct SilentReports {
    found: HashMap<Box<str>, MonoTime>,
    news: u64,
}

/// How long a report counts; a dead target is probed, and reported, once a second.
pub(crate) const REPORT_LIFE: Duration = Duration::from_secs(3);
/// The least progress that makes a report of a known target news, so that reports do not go round
/// for ever and each is renewed before it ends.
const RENEWAL: Duration = Duration::from_millis(1_500);

impl SilentReports {
    /// Records that a target was found dead at `at`; tells whether peers should know.
    pub(crate) fn note(&mut self, name: &str, at: MonoTime) -> bool {
        if self.found.get(name).is_some_and(|old| at < *old + RENEWAL) {
            return false;
        }
        self.found.insert(name.into(), at);
        self.news += 1;
        true
    }

    /// Forgets a target that answers.
    pub(crate) fn forget(&mut self, name: &str) {
        self.found.remove(name);
    }

    /// Forgets reports that ended.
    pub(crate) fn sweep(&mut self, now: MonoTime) {
        self.found.retain(|_, at| now < *at + REPORT_LIFE);
    }

    /// Returns the reports that count.
    pub(crate) fn current(&self, now: MonoTime) -> Vec<SilentTarget> {
        let current = self.found.iter().map(|(name, at)| SilentTarget {
            name: name.clone(),
            age: now.since(*at),
        });
        current.filter(|t| t.age < REPORT_LIFE).collect()
    }

    /// Returns the number of reports so far that peers should know.
    pub(crate) const fn news(&self) -> u64 {
        self.news
    }
}
