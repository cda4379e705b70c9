use zinniadrift_core::flow::FlowKey;

/// The state of a simulated flow as seen by its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FlowState {
    /// No target has answered the opening packet yet.
    Opening,
    /// The target with this index answered the opening packet and holds the flow.
    Open(u16),
    /// The flow was closed or broken.
    Ended,
}

/// A simulated flow.
///
/// At most one target holds a flow, so the holder is stored in the state of the flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowRecord {
    pub(crate) key: FlowKey,
    /// The index of the service in the user's services.
    pub(crate) service: u8,
    pub(crate) state: FlowState,
    /// The virtual time from which the caller closes the flow, in microseconds.
    pub(crate) closes_at: u64,
    /// The virtual time at which the caller last sent a packet, in microseconds.
    pub(crate) last_sent: u64,
    /// The virtual time at which the last packet reached the target that holds the flow, in
    /// microseconds.
    pub(crate) last_delivered: u64,
}
