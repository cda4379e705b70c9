use std::sync::Arc;

use super::{AttemptId, AttemptResult, IdempotencyKey, LoadReport, Peer, RequestId};
use crate::claim::{BatchId, ClaimOp, ClaimVerdict, ReadResult, ShardId, StoreCallId, WriteResult};
use crate::ids::{MemberId, ServiceId};
use crate::settings::ServiceCatalog;
use crate::units::MonoTime;

/// An input of the gateway's state machine.
#[derive(Clone, Debug)]
pub enum GatewayEvent {
    /// A request of a caller arrived.
    RequestArrived {
        /// The id that the driver assigned to the request.
        req: RequestId,
        /// The service that the path names.
        service: ServiceId,
        /// Whether the request is idempotent, so that it may be retried.
        idempotent: bool,
        /// The idempotency key, if the caller sent one.
        key: Option<IdempotencyKey>,
        /// The caller's deadline.
        deadline: MonoTime,
    },
    /// An attempt ended.
    AttemptFinished {
        /// The attempt from [`GatewayAction::Send`](super::GatewayAction::Send).
        attempt: AttemptId,
        /// The result of the attempt.
        result: AttemptResult,
    },
    /// The caller disconnected and no longer waits for an answer.
    RequestCancelled {
        /// The request.
        req: RequestId,
    },
    /// A read of a claim shard ended.
    ShardRead {
        /// The id of the call from the action.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
        /// The result of the read.
        result: ReadResult,
    },
    /// A write of a claim shard ended.
    ShardWritten {
        /// The id of the call from the action.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
        /// The result of the write.
        result: WriteResult,
    },
    /// Another gateway forwarded changes of claims to this one.
    ClaimsForwarded {
        /// The gateway that forwarded the batch.
        from: MemberId,
        /// That gateway's id of the batch, to be returned with the answer.
        batch: BatchId,
        /// The shard.
        shard: ShardId,
        /// The changes, in order.
        claims: Vec<ClaimOp>,
    },
    /// A forwarded batch was answered, or the call to the other gateway failed.
    ClaimsAnswered {
        /// The batch from [`GatewayAction::ForwardClaims`](super::GatewayAction::ForwardClaims).
        batch: BatchId,
        /// One verdict per change, in order; `None` if the call failed.
        verdicts: Option<Vec<ClaimVerdict>>,
    },
    /// A load report of a target arrived.
    Report(LoadReport),
    /// The driver received settings from the platform or from a peer.
    Settings(Arc<ServiceCatalog>),
    /// The set of live gateways changed; the set may leave out this gateway.
    Peers(Vec<Peer>),
    /// Time passed; needed at the time of
    /// [`Gateway::next_deadline`](super::Gateway::next_deadline).
    Tick,
    /// The operator requested a graceful shutdown.
    Leave,
}
