use crate::units::MonoTime;

use crate::steering::directory::target_directory::TargetIndex;

/// The observed state of a flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrackedFlow {
    /// The target that the last packet went to.
    pub(crate) target: TargetIndex,
    /// The target before it, if an opening packet was retransmitted to another target.
    pub(crate) previous_target: Option<TargetIndex>,
    pub(crate) phase: FlowPhase,
    /// The caller's last acknowledgement number.
    pub(crate) last_ack: u32,
    /// The sequence number after the last data that the caller sent.
    pub(crate) next_seq: u32,
    /// The time of the last packet.
    pub(crate) last_seen: MonoTime,
    /// Whether the answer to the opening packet is overdue.
    pub(crate) is_overdue: bool,
    /// The number of requests so far.
    pub(crate) requests: u32,
    /// The bytes that the caller has sent so far.
    pub(crate) bytes: u32,
}

/// The phase of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FlowPhase {
    /// The opening packet was forwarded.
    Opening,
    /// A request awaits its response.
    AwaitingResponse {
        /// When the first packet of the request arrived.
        since: MonoTime,
    },
    /// A request waits in the balancer for room at the target.
    Waiting,
    /// No request is active.
    Idle,
    /// The flow was closed or reset.
    Closed,
}
