use std::collections::VecDeque;
use std::sync::Arc;

use super::{ClaimShard, PendingOp, StoreCallId};
use crate::units::MonoTime;

/// Is what a gateway knows about one shard that it writes.
#[derive(Debug, Default)]
pub(crate) struct ShardState {
    /// The last value read or written; `None` if it must be read first.
    pub(crate) cached: Option<Cached>,
    /// The changes to write next, in order.
    pub(crate) queue: VecDeque<PendingOp>,
    /// The call to the platform in progress.
    pub(crate) call: Option<Call>,
    /// Writes in a row whose answer was lost or that the platform refused.
    pub(crate) failures: u32,
    /// The time before which nothing is written again after such failures.
    pub(crate) write_after: MonoTime,
}

/// Is a shard's value at a revision.
#[derive(Clone, Debug)]
pub(crate) struct Cached {
    /// The revision; `None` if the object does not exist.
    pub(crate) revision: Option<u64>,
    /// The value.
    pub(crate) value: Arc<ClaimShard>,
    /// When the platform confirmed it.
    pub(crate) confirmed: MonoTime,
}

/// Is a call to the platform.
#[derive(Debug)]
pub(crate) struct Call {
    /// The id of the call.
    pub(crate) id: StoreCallId,
    /// When its result no longer counts.
    pub(crate) timeout: MonoTime,
    /// What is written; `None` for a read.
    pub(crate) write: Option<WriteCall>,
}

/// Is a write in progress.
#[derive(Debug)]
pub(crate) struct WriteCall {
    /// The value that is written.
    pub(crate) value: Arc<ClaimShard>,
    /// The changes with the verdicts that hold once the value is durable.
    pub(crate) ops: Vec<(PendingOp, super::ClaimVerdict)>,
}

impl ShardState {
    /// Ends the call if it is `id`.
    pub(crate) fn finish(&mut self, id: StoreCallId) -> Option<Call> {
        self.call.take_if(|c| c.id == id)
    }

    /// Puts changes back at the front of the queue in their order.
    pub(crate) fn requeue(&mut self, ops: Vec<(PendingOp, super::ClaimVerdict)>) {
        for (op, _) in ops.into_iter().rev() {
            self.queue.push_front(op);
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.call.is_none()
    }
}
