use std::sync::Arc;

use super::{AttemptId, AttemptResult, IdempotencyKey, LoadReport, Peer, RequestId};
use crate::claim::{BatchId, ClaimOp, ClaimVerdict, ReadResult, ShardId, StoreCallId, WriteResult};
use crate::ids::{MemberId, ServiceId};
use crate::settings::ServiceCatalog;
use crate::units::MonoTime;

/// Is an input of the gateway's state machine.
#[derive(Clone, Debug)]
pub enum GatewayEvent {
    /// A caller sent a request.
    RequestArrived {
        /// The driver's id of the request.
        req: RequestId,
        /// The service that the path names.
        service: ServiceId,
        /// Whether the work may be repeated.
        idempotent: bool,
        /// The caller's idempotency key, if it sent one.
        key: Option<IdempotencyKey>,
        /// The time by which the caller wants the answer.
        deadline: MonoTime,
    },
    /// An attempt ended.
    AttemptFinished {
        /// The attempt from [`GatewayAction::Send`](super::GatewayAction::Send).
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// The caller went away; no answer is expected any more.
    RequestCancelled {
        /// The request.
        req: RequestId,
    },
    /// The platform answered a read of a claim shard, or failed to.
    ShardRead {
        /// The call from the action.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
        /// What was read.
        result: ReadResult,
    },
    /// The platform answered a write of a claim shard, or failed to.
    ShardWritten {
        /// The call from the action.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
        /// Whether it took effect.
        result: WriteResult,
    },
    /// Another gateway asks this one to write claims.
    ClaimsForwarded {
        /// The asking gateway.
        from: MemberId,
        /// The asking gateway's id of the batch, to be returned with the answer.
        batch: BatchId,
        /// The shard.
        shard: ShardId,
        /// The changes, in order.
        claims: Vec<ClaimOp>,
    },
    /// A gateway answered a forwarded batch, or the call to it failed.
    ClaimsAnswered {
        /// The batch from the action.
        batch: BatchId,
        /// One verdict per claim in order; `None` if the call failed.
        verdicts: Option<Vec<ClaimVerdict>>,
    },
    /// A load report of a target arrived.
    Report(LoadReport),
    /// The driver obtained settings from the platform or from a peer.
    Settings(Arc<ServiceCatalog>),
    /// The set of live gateways changed; it need not contain this one.
    Peers(Vec<Peer>),
    /// Time has passed.
    Tick,
    /// The operator asks for a graceful shutdown.
    Leave,
}
