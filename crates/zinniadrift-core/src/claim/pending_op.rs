use super::{BatchId, ClaimChange, ClaimOp};
use crate::ids::MemberId;
use crate::units::MonoTime;

/// Is a change that waits to be written.
#[derive(Clone, Debug)]
pub(crate) struct PendingOp {
    /// The change.
    pub(crate) op: ClaimOp,
    /// Who asked for it.
    pub(crate) origin: Origin,
    /// When it arrived.
    pub(crate) since: MonoTime,
    /// When it becomes useless; `None` if never.
    pub(crate) deadline: Option<MonoTime>,
    /// The gateways that failed to write it so far.
    pub(crate) failures: u8,
}

/// Tells who asked for a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// A request of this gateway.
    Local,
    /// Another gateway.
    Remote {
        /// The gateway.
        from: MemberId,
        /// Its batch.
        batch: BatchId,
        /// The position in the batch.
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
            since: now,
            deadline,
            failures: 0,
        }
    }

    /// Tells whether a request waits for the verdict.
    pub(crate) fn is_urgent(&self) -> bool {
        self.deadline.is_some()
    }

    pub(crate) fn is_late(&self, now: MonoTime) -> bool {
        self.deadline.is_some_and(|d| d <= now)
    }
}
