use std::sync::Arc;

use zinniadrift_core::claim::{ClaimShard, ShardId, StoreCallId};
use zinniadrift_core::gateway::{AttemptId, GatewayEvent, Outcome};
use zinniadrift_core::ids::TargetId;

/// Names one run of a gateway.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct GatewayInstance {
    /// The index of the gateway.
    pub(super) gateway: usize,
    /// The run.
    pub(super) incarnation: u64,
}

/// Is something that happens at a time of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    /// A request reaches its gateway.
    Request(usize),
    /// The caller of a request stops waiting.
    CallerTimeout(usize),
    /// An answer reaches its caller.
    AnswerArrives(usize, Outcome),
    /// An input reaches a gateway.
    Deliver(GatewayInstance, GatewayEvent),
    /// A gateway's own deadline.
    Tick(GatewayInstance),
    /// An attempt reaches its target.
    Attempt(Attempt),
    /// A cancellation reaches a target.
    Cancel(GatewayInstance, AttemptId),
    /// Work ends at its target.
    RunEnds(u64),
    /// A write reaches the platform.
    Write(StoreWrite),
    /// A read reaches the platform.
    Read(GatewayInstance, StoreCallId, ShardId),
    /// A gateway that died starts again.
    Restart(usize),
    /// The gateways learn which of them are live.
    PublishPeers,
    /// The targets state their load.
    PublishReports,
    /// A fault occurs.
    Fault(FaultKind),
    /// A target that was drained starts again.
    Undrain(usize),
}

/// Is an attempt on its way to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// The gateway.
    pub(super) instance: GatewayInstance,
    /// Its id.
    pub(super) id: AttemptId,
    /// The request.
    pub(super) request: usize,
    /// The target.
    pub(super) target: TargetId,
    /// What will go wrong.
    pub(super) fault: Option<AttemptFault>,
}

/// Is a write on its way to the platform.
#[derive(Debug)]
pub(super) struct StoreWrite {
    /// The gateway.
    pub(super) instance: GatewayInstance,
    /// Its id.
    pub(super) call_id: StoreCallId,
    /// The shard.
    pub(super) shard: ShardId,
    /// The expected revision.
    pub(super) expected: Option<u64>,
    /// The value.
    pub(super) value: Arc<ClaimShard>,
    /// Whether the answer is lost.
    pub(super) answer_lost: bool,
}

/// Lists what can go wrong with an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptFault {
    /// The connection ends before the work starts.
    LostBefore,
    /// The connection ends after the work started.
    LostAfter,
    /// The response is cut off.
    Truncated,
    /// The response of another request arrives.
    Swapped,
    /// The response arrives after the connection was given up on.
    Late,
}

/// Lists the faults that occur at random times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultKind {
    /// A gateway dies.
    Kill,
    /// A gateway is paused.
    Pause,
    /// The platform stops answering.
    Outage,
    /// A target drains.
    Drain,
}
