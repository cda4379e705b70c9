use crate::units::MonoTime;

use super::directory::TargetIndex;

/// Is what a balancer observes of one flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrackedFlow {
    /// The target that the last packet went to.
    pub(crate) target: TargetIndex,
    /// The target before that, if an opening packet was moved.
    pub(crate) previous_target: Option<TargetIndex>,
    pub(crate) phase: FlowPhase,
    /// The caller's last acknowledgement.
    pub(crate) last_ack: u32,
    /// The sequence number after the last data that the caller sent.
    pub(crate) next_seq: u32,
    /// The last packet's time.
    pub(crate) last_seen: MonoTime,
    /// The number of requests so far.
    pub(crate) requests: u32,
    /// The bytes that the caller sent so far.
    pub(crate) bytes: u32,
}

/// Tells how far a flow is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FlowPhase {
    /// The opening packet was sent on.
    Opening,
    /// A request waits for its answer.
    AwaitingResponse {
        /// When its first byte came.
        since: MonoTime,
    },
    /// No request is at work.
    Idle,
    /// An end has closed the flow.
    Closed,
}
