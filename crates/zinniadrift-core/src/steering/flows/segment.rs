use crate::flow::FlowKey;

use crate::steering::Cookie;

/// The parts of a caller's packet that the decision depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The flow that the packet belongs to.
    pub flow: FlowKey,
    /// The packet's role in the flow.
    pub kind: SegmentKind,
    /// The last cookie that the caller received on the flow.
    pub cookie: Cookie,
    /// The sequence number of the first data byte.
    pub seq: u32,
    /// The sequence number of the next byte that the caller expects.
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

/// The role of a packet in the life of its flow; unlike [`PacketKind`](crate::flow::PacketKind),
/// with the number of retransmissions of an opening packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// Opens a flow.
    Open {
        /// The number of earlier opening packets of the flow.
        retransmissions: u32,
    },
    /// Any other packet of an established flow, also a bare acknowledgement.
    Established,
    /// Closes the caller's direction.
    Close,
    /// Aborts the flow.
    Reset,
}
