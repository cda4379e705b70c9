use super::{BatchId, ClaimChange, ClaimOp};
use crate::ids::MemberId;
use crate::units::MonoTime;

/// A change that waits to be written.
#[derive(Clone, Debug)]
pub(crate) struct PendingOp {
    /// The change.
    pub(crate) op: ClaimOp,
    /// The origin of the change.
    pub(crate) origin: Origin,
    /// The time at which the change arrived.
    pub(crate) arrived_at: MonoTime,
    /// The time after which the change is no longer needed; `None` if it is always needed.
    pub(crate) deadline: Option<MonoTime>,
    /// The number of attempts to get the change written that failed because a gateway could not
    /// reach the platform.
    pub(crate) failures: u8,
}

/// The origin of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// A request of this gateway.
    Local,
    /// Another gateway.
    Remote {
        /// The gateway.
        from: MemberId,
        /// The gateway's id of the batch.
        batch: BatchId,
        /// The position of the change in the batch.
        index: usize,
    },
}

impl PendingOp {
    pub(crate) fn new(op: ClaimOp, origin: Origin, now: MonoTime) -> Self {
        let deadline = match op.change {
            ClaimChange::Take { remaining } | ClaimChange::Start { remaining } => {
                Some(now + remaining)
            }
            ClaimChange::Complete { .. } | ClaimChange::Release => None,
        };
        Self {
            op,
            origin,
            arrived_at: now,
            deadline,
            failures: 0,
        }
    }

    /// Returns whether a request waits for the verdict.
    pub(crate) fn is_awaited(&self) -> bool {
        self.deadline.is_some()
    }

    pub(crate) fn is_expired(&self, now: MonoTime) -> bool {
        self.deadline.is_some_and(|d| d <= now)
    }
}
