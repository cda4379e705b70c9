use tokio::sync::oneshot;

use zinniadrift_core::claim::{BatchId, ClaimOp, ClaimVerdict, ShardId};
use zinniadrift_core::ids::MemberId;

/// Is a batch of claims that another gateway asks this one to write.
#[derive(Debug)]
pub(crate) struct ClaimCall {
    /// The asking gateway.
    pub(crate) from: MemberId,
    /// Its id of the batch.
    pub(crate) batch: BatchId,
    /// The shard.
    pub(crate) shard: ShardId,
    /// The changes, in order.
    pub(crate) claims: Vec<ClaimOp>,
    /// Takes the verdicts.
    pub(crate) answer: oneshot::Sender<Vec<ClaimVerdict>>,
}
