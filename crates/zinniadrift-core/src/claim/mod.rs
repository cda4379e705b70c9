//! At-most-once execution of non-idempotent requests, by claims that are stored in the platform.
//!
//! [`ClaimShard::apply`] is the pure state transition. [`ClaimRouter`] routes changes to the
//! gateway that writes a shard and batches them into conditional writes.

mod batch_id;
mod claim_action;
mod claim_key;
mod claim_op;
mod claim_record;
mod claim_router;
mod claim_settings;
mod claim_shard;
mod claim_token;
mod claim_verdict;
mod claim_writer;
mod pending_op;
mod remote_batch;
mod shard_id;
mod shard_rules;
mod shard_state;
mod store_call_id;
mod store_result;
mod stored_answer;
mod write_pacer;
mod writer_selector;

pub use batch_id::BatchId;
pub use claim_action::ClaimAction;
pub use claim_key::ClaimKey;
pub use claim_op::{ClaimChange, ClaimOp};
pub use claim_record::{ClaimPhase, ClaimRecord};
pub use claim_router::ClaimRouter;
pub use claim_settings::ClaimSettings;
pub use claim_shard::ClaimShard;
pub use claim_token::ClaimToken;
pub use claim_verdict::ClaimVerdict;
pub use shard_id::ShardId;
pub use shard_rules::ShardRules;
pub use store_call_id::StoreCallId;
pub use store_result::{ReadResult, WriteResult};
pub use stored_answer::StoredAnswer;
pub use write_pacer::WritePacer;

use pending_op::{Origin, PendingOp};
use remote_batch::RemoteBatch;
use writer_selector::WriterSelector;
