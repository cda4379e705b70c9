use zinniadrift_core::flow::FlowKey;

/// Tells where a simulated flow stands from its caller's view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FlowState {
    /// The opening packet is not answered yet.
    Opening,
    /// The target with this index answered the opening packet and holds the flow.
    Open(u16),
    /// The flow ended or was broken.
    Ended,
}

/// Holds one simulated flow.
///
/// A flow is in the set of exactly one target, so that set is stored as the flow's state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowRecord {
    pub(crate) key: FlowKey,
    /// The index of the service within the user's services.
    pub(crate) service: u8,
    pub(crate) state: FlowState,
    /// The virtual time of the closing packet, in microseconds.
    pub(crate) ends_at: u64,
    /// The virtual time at which the last packet was sent, in microseconds.
    pub(crate) sent: u64,
    /// The virtual time of the last packet that reached the right target, in microseconds.
    pub(crate) last_ok: u64,
}
