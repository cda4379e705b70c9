use std::collections::VecDeque;
use std::sync::Arc;

use super::{ClaimShard, PendingOp, StoreCallId};
use crate::units::MonoTime;

/// The state of a shard that this gateway writes.
#[derive(Debug, Default)]
pub(crate) struct ShardState {
    /// The last value read or written; `None` if the shard must be read before the next write.
    pub(crate) cached: Option<Cached>,
    /// The changes that wait to be written, in order.
    pub(crate) queue: VecDeque<PendingOp>,
    /// The call to the platform in progress.
    pub(crate) call: Option<StoreCall>,
    /// Consecutive writes whose answer was lost or that the platform refused.
    pub(crate) write_failures: u32,
    /// The end of the back-off after such failures; no write starts before it.
    pub(crate) write_after: MonoTime,
}

/// A shard's value at a revision.
#[derive(Clone, Debug)]
pub(crate) struct Cached {
    /// The revision; `None` if the object does not exist.
    pub(crate) revision: Option<u64>,
    /// The value.
    pub(crate) value: Arc<ClaimShard>,
    /// The time at which the platform confirmed the value.
    pub(crate) confirmed_at: MonoTime,
}

/// A call to the platform in progress.
#[derive(Debug)]
pub(crate) struct StoreCall {
    /// The id of the call.
    pub(crate) id: StoreCallId,
    /// The time after which the call counts as lost and its result is ignored.
    pub(crate) timeout: MonoTime,
    /// The write; `None` for a read.
    pub(crate) write: Option<WriteCall>,
}

/// The contents of a write in progress.
#[derive(Debug)]
pub(crate) struct WriteCall {
    /// The value that is written.
    pub(crate) value: Arc<ClaimShard>,
    /// The changes, with the verdicts that become valid once the value is durable.
    pub(crate) ops: Vec<(PendingOp, super::ClaimVerdict)>,
}

impl ShardState {
    /// Removes and returns the call in progress if its id is `id`.
    pub(crate) fn take_call(&mut self, id: StoreCallId) -> Option<StoreCall> {
        self.call.take_if(|c| c.id == id)
    }

    /// Puts changes back at the front of the queue, in their original order.
    pub(crate) fn requeue(&mut self, ops: Vec<(PendingOp, super::ClaimVerdict)>) {
        for (op, _) in ops.into_iter().rev() {
            self.queue.push_front(op);
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.call.is_none()
    }
}
