use std::sync::Arc;

use super::{AttemptId, Outcome, RequestId, TimelineEvent};
use crate::claim::{BatchId, ClaimOp, ClaimShard, ClaimVerdict, ShardId, StoreCallId};
use crate::ids::{MemberId, TargetId};
use crate::units::MonoTime;

/// Is an output of the gateway's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAction {
    /// Send a request to a target.
    Send {
        /// The request.
        req: RequestId,
        /// The id under which the result is reported.
        attempt: AttemptId,
        /// The target.
        target: TargetId,
        /// The time by which the caller wants the answer; the target gets the remaining time.
        deadline: MonoTime,
    },
    /// Tell the target that the result of an attempt is no longer wanted.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close the connection that carried an attempt; no further request may use it.
    RetireConnection {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer the caller.
    Answer {
        /// The request; the driver may forget it afterwards.
        req: RequestId,
        /// What to tell the caller.
        outcome: Outcome,
    },
    /// Read a claim shard from the platform.
    ReadShard {
        /// The id under which the result is reported.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
    },
    /// Write a claim shard conditionally.
    WriteShard {
        /// The id under which the result is reported.
        call_id: StoreCallId,
        /// The shard.
        shard: ShardId,
        /// The revision that the object must have; `None` if it must not exist.
        expected: Option<u64>,
        /// The new value.
        value: Arc<ClaimShard>,
    },
    /// Ask another gateway to write claims.
    ForwardClaims {
        /// The gateway that writes the shard.
        to: MemberId,
        /// The id under which the answer is reported.
        batch: BatchId,
        /// The shard.
        shard: ShardId,
        /// The changes, in order.
        claims: Vec<ClaimOp>,
    },
    /// Answer a batch that another gateway forwarded.
    AnswerClaims {
        /// The gateway that asked.
        to: MemberId,
        /// Its id of the batch.
        batch: BatchId,
        /// One verdict per claim in order.
        verdicts: Vec<ClaimVerdict>,
    },
    /// Report a state change.
    Timeline(TimelineEvent),
    /// Stop the process.
    Exit,
}
