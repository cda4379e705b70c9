use std::collections::VecDeque;

use super::{Revision, TargetChange};

/// Remembers the latest changes of the directory, so that peers get only what they miss.
///
/// A balancer passes from one state of the store to a later one. What it learned on the way from a
/// list or a peer is the difference of the two states only: what changed and changed back between
/// them is not known.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<(Revision, TargetChange)>,
    /// The steps of which only the difference is known, in their order.
    gaps: VecDeque<Gap>,
    /// The revision after which every change or difference is in the log.
    complete_after: Revision,
}

/// Tells what changes hold of the time between two states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Coverage {
    /// Every object that changed.
    All,
    /// What differs between the two states.
    NetChange,
}

/// Is a step between two known states with unknown ones between them.
#[derive(Clone, Copy, Debug)]
struct Gap {
    from: Revision,
    to: Revision,
}

/// The number of changes kept, and of differences; a release of all 3,500 targets of the planned
/// size in steps of one second stays far below it between two questions of a peer.
const CAPACITY: usize = 512;

impl ChangeLog {
    /// Returns a log that begins after `revision`.
    pub(crate) fn starting_after(revision: Revision) -> Self {
        Self {
            complete_after: revision,
            ..Self::default()
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

    /// Records that the changes of the step between two states are their difference only.
    pub(crate) fn push_net_change(&mut self, from: Revision, to: Revision) {
        if from >= to {
            return;
        }
        if self.gaps.len() >= CAPACITY
            && let Some(dropped) = self.gaps.pop_front()
        {
            self.complete_after = self.complete_after.max(dropped.to);
        }
        self.gaps.push_back(Gap { from, to });
    }

    /// Returns the changes after `revision`, or `None` if some are not known any more.
    pub(crate) fn since(&self, revision: Revision) -> Option<Vec<TargetChange>> {
        let is_inside = |d: &Gap| d.from < revision && revision < d.to;
        if revision < self.complete_after || self.gaps.iter().any(is_inside) {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }
}
