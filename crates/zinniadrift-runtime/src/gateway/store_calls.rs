use std::sync::Arc;

use zinniadrift_core::claim::{ClaimShard, ReadResult, ShardId, StoreCallId, WriteResult};
use zinniadrift_core::gateway::GatewayEvent;
use zinniadrift_store::{HttpStore, ObjectStore, Precondition, StoreError};

/// Reads a claim shard from the store.
pub(super) async fn read_shard(
    store: HttpStore,
    user: Box<str>,
    call_id: StoreCallId,
    shard: ShardId,
) -> GatewayEvent {
    let result = match store.get(&shard_key(&user, shard)).await {
        Ok(Some(object)) => match serde_json::from_value::<ClaimShard>(object.value) {
            Ok(value) => ReadResult::Found {
                revision: object.revision,
                value: Arc::new(value),
            },
            Err(e) => {
                // A malformed shard must not be overwritten: its claims would be lost.
                tracing::error!(%shard, error = %e, "claim shard is malformed");
                ReadResult::Unavailable
            }
        },
        Ok(None) => ReadResult::Absent,
        Err(_) => ReadResult::Unavailable,
    };
    GatewayEvent::ShardRead {
        call_id,
        shard,
        result,
    }
}

/// Writes a claim shard if its stored revision is `expected`; `None` requires that it is absent.
pub(super) async fn write_shard(
    store: HttpStore,
    user: Box<str>,
    call_id: StoreCallId,
    shard: ShardId,
    expected: Option<u64>,
    value: Arc<ClaimShard>,
) -> GatewayEvent {
    let pre = expected.map_or(Precondition::Absent, Precondition::Revision);
    let result = match serde_json::to_value(&*value) {
        Ok(value) => store.put(&shard_key(&user, shard), value, pre).await,
        Err(_) => Err(StoreError::Refused { status: 0 }),
    };
    let result = match result {
        Ok(revision) => WriteResult::Written { revision },
        Err(StoreError::Conflict { .. }) => WriteResult::Conflict,
        Err(_) => WriteResult::Unavailable,
    };
    GatewayEvent::ShardWritten {
        call_id,
        shard,
        result,
    }
}

fn shard_key(user: &str, shard: ShardId) -> String {
    format!("claims/{user}/{}", shard.get())
}
