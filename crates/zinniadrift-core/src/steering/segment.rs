use crate::flow::FlowKey;

use super::Cookie;

/// Describes one packet from a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The flow that the packet belongs to.
    pub flow: FlowKey,
    /// What the packet does to the flow.
    pub kind: SegmentKind,
    /// The last cookie that the caller received on the flow.
    pub cookie: Cookie,
    /// The sequence number of the first data byte.
    pub seq: u32,
    /// The next byte that the caller expects.
    pub ack: u32,
    /// The length of the data in bytes.
    pub len: u16,
}

impl Segment {
    /// Returns the sequence number after the data.
    pub const fn end(&self) -> u32 {
        self.seq.wrapping_add(self.len as u32)
    }
}

/// Tells what a packet does to its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// Opens a flow; `retransmissions` counts the earlier opening packets of the same flow.
    Open {
        /// The number of opening packets that came before.
        retransmissions: u32,
    },
    /// Carries data or an acknowledgement.
    Data,
    /// Ends the caller's direction.
    Close,
    /// Aborts the flow.
    Reset,
}
