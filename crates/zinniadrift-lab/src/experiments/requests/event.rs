use std::sync::Arc;

use zinniadrift_core::claim::{ClaimShard, ShardId, StoreCallId};
use zinniadrift_core::gateway::{AttemptId, GatewayEvent, Outcome};
use zinniadrift_core::ids::TargetId;

/// The identity of one incarnation of a gateway's process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct GatewayInstance {
    /// The index of the gateway.
    pub(super) gateway: usize,
    /// The incarnation, which increases with each restart.
    pub(super) incarnation: u64,
}

/// An event of the simulation. Requests, gateways and targets are given by their index.
#[derive(Debug)]
pub(super) enum Event {
    /// A request arrives at its gateway.
    Request(usize),
    /// The caller of a request stops waiting for the answer.
    CallerTimeout(usize),
    /// An answer arrives at the caller of a request.
    AnswerArrives(usize, Outcome),
    /// An event of the core arrives at a gateway.
    Deliver(GatewayInstance, GatewayEvent),
    /// A gateway's next deadline is due.
    Tick(GatewayInstance),
    /// An attempt arrives at its target.
    Attempt(Attempt),
    /// The cancellation of an attempt arrives at its target.
    Cancel(GatewayInstance, AttemptId),
    /// A run of a job ends at its target.
    RunEnds(u64),
    /// A write arrives at the platform.
    Write(StoreWrite),
    /// A read arrives at the platform.
    Read(GatewayInstance, StoreCallId, ShardId),
    /// A gateway restarts after its death.
    Restart(usize),
    /// The gateways receive the list of live gateways.
    PublishPeers,
    /// The targets report their load.
    PublishReports,
    /// A fault begins.
    Fault(FaultKind),
    /// A drained target restarts and accepts work.
    Undrain(usize),
}

/// An attempt that a gateway sends to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// The gateway that sends the attempt.
    pub(super) instance: GatewayInstance,
    /// The attempt's id.
    pub(super) id: AttemptId,
    /// The index of the request.
    pub(super) request: usize,
    /// The target.
    pub(super) target: TargetId,
    /// The fault to inject.
    pub(super) fault: Option<AttemptFault>,
}

/// A conditional write of a claim shard that a gateway sends to the platform.
#[derive(Debug)]
pub(super) struct StoreWrite {
    /// The gateway that sends the write.
    pub(super) instance: GatewayInstance,
    /// The id of the store call.
    pub(super) call_id: StoreCallId,
    /// The shard to write.
    pub(super) shard: ShardId,
    /// The revision that the shard must have; `None` if it must not exist.
    pub(super) expected: Option<u64>,
    /// The new value.
    pub(super) value: Arc<ClaimShard>,
    /// Whether the platform's answer is lost.
    pub(super) answer_lost: bool,
}

/// The faults of a single attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptFault {
    /// The connection is lost before the run starts.
    LostBefore,
    /// The connection is lost after the run has started.
    LostAfter,
    /// The response is truncated.
    Truncated,
    /// The response belongs to another request.
    Swapped,
    /// The response arrives after the connection was reported as making no progress.
    Late,
}

/// The faults that begin at random times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultKind {
    /// A gateway dies.
    Kill,
    /// A gateway is paused.
    Pause,
    /// The platform stops answering.
    Outage,
    /// A target is drained.
    Drain,
}
