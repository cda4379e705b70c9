use std::sync::Arc;

use super::{BatchId, ClaimOp, ClaimShard, ClaimToken, ClaimVerdict, ShardId, StoreCallId};
use crate::ids::MemberId;

/// Is an output of [`ClaimRouter`](super::ClaimRouter).
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Read a shard.
    Read {
        /// The call.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
    },
    /// Write a shard conditionally.
    Write {
        /// The call.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
        /// The revision that the object must have; `None` if it must not exist.
        expected: Option<u64>,
        /// The new value.
        value: Arc<ClaimShard>,
    },
    /// Ask another gateway to write.
    Forward {
        /// The writer.
        to: MemberId,
        /// The batch.
        batch: BatchId,
        /// The shard.
        shard: ShardId,
        /// The changes.
        claims: Vec<ClaimOp>,
    },
    /// Answer another gateway.
    Reply {
        /// The asking gateway.
        to: MemberId,
        /// Its batch.
        batch: BatchId,
        /// One verdict per change.
        verdicts: Vec<ClaimVerdict>,
    },
    /// A claim of this gateway was decided, for `Take` and `Start` only.
    Decided {
        /// The claim.
        token: ClaimToken,
        /// Whether it was the start mark that was decided.
        start: bool,
        /// The verdict.
        verdict: ClaimVerdict,
    },
    /// The platform stopped or resumed answering.
    PlatformAvailable(bool),
}
