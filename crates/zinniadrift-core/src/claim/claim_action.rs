use std::sync::Arc;

use super::{BatchId, ClaimOp, ClaimShard, ClaimToken, ClaimVerdict, ShardId, StoreCallId};
use crate::ids::MemberId;

/// An output of [`ClaimRouter`](super::ClaimRouter).
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Read a shard.
    Read {
        /// The id of the call.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
    },
    /// Write a shard conditionally.
    Write {
        /// The id of the call.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
        /// The revision that the object must have; `None` if it must not exist.
        expected: Option<u64>,
        /// The new value.
        value: Arc<ClaimShard>,
    },
    /// Forward changes to the gateway that writes the shard.
    Forward {
        /// The gateway that writes the shard.
        to: MemberId,
        /// The id of the batch.
        batch: BatchId,
        /// The shard.
        shard: ShardId,
        /// The changes, in order.
        claims: Vec<ClaimOp>,
    },
    /// Answer a batch that another gateway forwarded.
    Reply {
        /// The gateway that forwarded the batch.
        to: MemberId,
        /// That gateway's id of the batch.
        batch: BatchId,
        /// One verdict per change, in order.
        verdicts: Vec<ClaimVerdict>,
    },
    /// Report the verdict on a `Take` or `Start` of this gateway.
    Decided {
        /// The token of the claim.
        token: ClaimToken,
        /// Whether the change was `Start`; otherwise it was `Take`.
        is_start: bool,
        /// The verdict.
        verdict: ClaimVerdict,
    },
    /// Report that the platform answers again (`true`) or stopped answering (`false`).
    PlatformAvailable(bool),
}
