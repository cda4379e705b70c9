use std::sync::Arc;

use super::{BaseSet, OwnerTable, RebasePhase};
use crate::placement::MaglevTable;

/// The move of a service from one base set to another.
#[derive(Clone, Debug)]
pub(super) struct Rebase {
    pub(super) goal: BaseSet,
    pub(super) goal_digest: u64,
    pub(super) goal_table: Arc<OwnerTable>,
    /// The base table at the start; the buckets in which it differs from the goal's table move.
    pub(super) old_table: Arc<OwnerTable>,
    pub(super) old_set: BaseSet,
    pub(super) phase: RebasePhase,
    /// The position of the scan in the flow table, or `None` when the scan is complete.
    pub(super) cursor: Option<usize>,
    /// The number of the last publication of the scans; all members must acknowledge it.
    pub(super) last_publication: u64,
}

impl Rebase {
    /// Returns a rebase in its first phase.
    pub(super) fn new(
        goal: BaseSet,
        goal_table: Arc<OwnerTable>,
        old_set: BaseSet,
        old_table: Arc<OwnerTable>,
    ) -> Self {
        Self {
            goal_digest: goal.digest(),
            goal,
            goal_table,
            old_table,
            old_set,
            phase: RebasePhase::Publishing,
            cursor: Some(0),
            last_publication: 0,
        }
    }

    /// Enters the next phase and starts another scan of the flow table.
    pub(super) fn advance(&mut self) {
        self.phase = self.phase.next();
        self.cursor = Some(0);
    }

    /// Returns whether the flow hash's bucket has different owners in the two base sets.
    pub(super) fn moves(&self, hash: u64) -> bool {
        self.old_table.owner(hash) != self.goal_table.owner(hash)
    }

    /// Returns the bucket of a flow hash; buckets divide the publishing between the members.
    pub(super) fn bucket(hash: u64) -> usize {
        MaglevTable::bucket_of(hash)
    }
}
