use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::{Cookie, Segment};

/// The number of a request in the simulation.
pub(super) type RequestId = usize;
/// The index of a balancer.
pub(super) type BalancerId = usize;
/// The index of a target.
pub(super) type TargetId = usize;

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A caller has a new request.
    Arrival { caller: usize },
    /// A caller's packet reaches a balancer.
    AtBalancer { segment: Segment },
    /// A forwarded packet reaches a target.
    AtTarget { target: TargetId, segment: Segment },
    /// A target's acceptance of a flow reaches the caller.
    Accepted { flow: FlowKey, cookie: Cookie },
    /// A response or refusal reaches the caller.
    Answered {
        flow: FlowKey,
        request: RequestId,
        is_refusal: bool,
    },
    /// A reset reaches the caller.
    ResetReceived { flow: FlowKey },
    /// A caller's retransmission of an opening packet or a request is due.
    Retransmit {
        flow: FlowKey,
        request: RequestId,
        count: u32,
    },
    /// The caller gives up.
    Deadline { request: RequestId },
    /// A caller's delayed acknowledgement is due.
    Acknowledge { flow: FlowKey, ack: u32 },
    /// A target has finished a request.
    Finished {
        target: TargetId,
        flow: FlowKey,
        request: RequestId,
    },
    /// A balancer's timer has expired.
    Tick { balancer: BalancerId },
    /// A probe of a target has ended.
    Probed {
        balancer: BalancerId,
        target: TargetId,
    },
    /// The store confirms the directory and the routes to all balancers.
    Confirm,
    /// All balancers end and lose what they know.
    Darkness,
}
