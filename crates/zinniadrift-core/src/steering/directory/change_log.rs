use std::collections::VecDeque;

use crate::steering::{Position, TargetChange};

/// A bounded log of the latest directory changes, from which peers get only the changes that they
/// are missing.
///
/// A balancer moves from one revision of the store to a later one. A full list or a peer's update
/// gives only the net change between the two revisions: a change that was reverted in between is
/// not in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<(Position, TargetChange)>,
    /// The steps of which only the net change is known, oldest first.
    gaps: VecDeque<Gap>,
    /// The revision after which the log holds every change or gap.
    complete_after: Position,
}

/// The part of the changes between two revisions that a set of changes holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Coverage {
    /// Every object that changed.
    All,
    /// The objects that differ between the two revisions.
    NetChange,
}

/// A step between two known revisions with unknown revisions in between.
#[derive(Clone, Copy, Debug)]
struct Gap {
    from: Position,
    to: Position,
}

/// The maximum number of changes, and of gaps. A rollout of all 3,500 targets of the planned size
/// in steps of one second stays far below it between two requests of a peer.
const CAPACITY: usize = 512;

impl ChangeLog {
    /// Returns an empty log that is complete after `revision`.
    pub(crate) fn starting_after(revision: Position) -> Self {
        Self {
            complete_after: revision,
            ..Self::default()
        }
    }

    /// Appends a change that became known with `revision`.
    pub(crate) fn push(&mut self, revision: Position, change: TargetChange) {
        if self.changes.len() >= CAPACITY
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.complete_after = self.complete_after.max(dropped);
        }
        self.changes.push_back((revision, change));
    }

    /// Records that only the net change between the two revisions is known.
    pub(crate) fn push_net_change(&mut self, from: Position, to: Position) {
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

    /// Returns the changes after `revision`, or `None` if the log no longer holds all of them or
    /// `revision` lies inside a gap.
    pub(crate) fn since(&self, revision: Position) -> Option<Vec<TargetChange>> {
        let is_inside = |g: &Gap| g.from < revision && revision < g.to;
        if revision < self.complete_after || self.gaps.iter().any(is_inside) {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }
}
