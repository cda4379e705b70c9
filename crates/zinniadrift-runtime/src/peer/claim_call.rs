use tokio::sync::oneshot;

use zinniadrift_core::claim::{BatchId, ClaimOp, ClaimVerdict, ShardId};
use zinniadrift_core::ids::MemberId;

/// A batch of claims that another gateway requests this gateway to write.
#[derive(Debug)]
pub(crate) struct ClaimCall {
    /// The requesting gateway.
    pub(crate) from: MemberId,
    /// The id that the requesting gateway gave the batch.
    pub(crate) batch: BatchId,
    /// The shard that holds the claims.
    pub(crate) shard: ShardId,
    /// The changes, in the order in which they are applied.
    pub(crate) claims: Vec<ClaimOp>,
    /// The channel for the verdicts.
    pub(crate) verdicts_tx: oneshot::Sender<Vec<ClaimVerdict>>,
}
