//! Makes sure that a non-idempotent request runs at most once, by claims in the platform.

mod batch_id;
mod claim_key;
mod claim_op;
mod claim_record;
mod claim_shard;
mod claim_token;
mod claim_verdict;
mod shard_id;
mod store_op;
mod store_result;
mod stored_answer;

pub use batch_id::BatchId;
pub use claim_key::ClaimKey;
pub use claim_op::{ClaimChange, ClaimOp};
pub use claim_record::{ClaimPhase, ClaimRecord};
pub use claim_shard::ClaimShard;
pub use claim_token::ClaimToken;
pub use claim_verdict::ClaimVerdict;
pub use shard_id::ShardId;
pub use store_op::StoreOp;
pub use store_result::{ReadResult, WriteResult};
pub use stored_answer::StoredAnswer;
