use std::collections::VecDeque;

use super::{Revision, TargetChange};

/// Remembers the latest changes of the directory, so that peers get only what they miss.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<(Revision, TargetChange)>,
    /// The revision after which every change is in the log.
    complete_after: Revision,
}

/// The number of changes kept; a release of all 3,500 targets of the planned size in steps of one
/// second stays far below it between two questions of a peer.
const CAPACITY: usize = 512;

impl ChangeLog {
    /// Returns a log that begins after `revision`.
    pub(crate) fn starting_after(revision: Revision) -> Self {
        Self {
            changes: VecDeque::new(),
            complete_after: revision,
        }
    }

    /// Adds a change that became known with the state of `revision`.
    pub(crate) fn push(&mut self, revision: Revision, change: TargetChange) {
        if self.changes.len() >= CAPACITY
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.complete_after = self.complete_after.max(dropped);
        }
        self.changes.push_back((revision, change));
    }

    /// Returns the changes after `revision`, or `None` if some are not known any more.
    pub(crate) fn since(&self, revision: Revision) -> Option<Vec<TargetChange>> {
        if revision < self.complete_after {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }
}
