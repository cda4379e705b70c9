use std::sync::Arc;

use super::{AttemptId, Outcome, RequestId, TimelineEvent};
use crate::claim::{BatchId, ClaimOp, ClaimShard, ClaimVerdict, ShardId, StoreCallId};
use crate::ids::{MemberId, TargetId};
use crate::units::MonoTime;

/// An output of the gateway's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAction {
    /// Send a request to a target.
    Send {
        /// The request.
        req: RequestId,
        /// The id of the attempt, under which the result is reported.
        attempt: AttemptId,
        /// The target.
        target: TargetId,
        /// The caller's deadline; the driver passes the remaining time to the target.
        deadline: MonoTime,
    },
    /// Cancel an attempt whose result is no longer needed.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close the connection that carried an attempt, so that no further request uses it.
    RetireConnection {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer the caller.
    Answer {
        /// The request; the driver may drop its state afterwards.
        req: RequestId,
        /// The outcome to report to the caller.
        outcome: Outcome,
    },
    /// Read a claim shard from the platform.
    ReadShard {
        /// The id of the call, under which the result is reported.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
    },
    /// Write a claim shard conditionally.
    WriteShard {
        /// The id of the call, under which the result is reported.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
        /// The revision that the object must have; `None` if it must not exist.
        expected: Option<u64>,
        /// The new value.
        value: Arc<ClaimShard>,
    },
    /// Forward changes of claims to the gateway that writes their shard.
    ForwardClaims {
        /// The gateway that writes the shard.
        to: MemberId,
        /// The id of the batch, under which the answer is reported.
        batch: BatchId,
        /// The shard.
        shard: ShardId,
        /// The changes, in order.
        claims: Vec<ClaimOp>,
    },
    /// Answer a batch that another gateway forwarded.
    AnswerClaims {
        /// The gateway that forwarded the batch.
        to: MemberId,
        /// That gateway's id of the batch.
        batch: BatchId,
        /// One verdict per change, in order.
        verdicts: Vec<ClaimVerdict>,
    },
    /// Report a state change to the time line.
    Timeline(TimelineEvent),
    /// Stop the process.
    Exit,
}
