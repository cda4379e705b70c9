use super::FlowKey;
use crate::ids::PacketToken;

/// The role of a packet in the life of its TCP flow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PacketKind {
    /// A TCP SYN.
    Open,
    /// Any other packet of an established flow.
    Established,
    /// A TCP FIN.
    Close,
    /// A TCP RST.
    Reset,
}

/// The metadata of a packet that the core decides on; the driver keeps the bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowPacket {
    /// The flow that the packet belongs to.
    pub flow: FlowKey,
    /// The packet's role in the flow.
    pub kind: PacketKind,
    /// Whether another balancer relayed the packet; a relayed packet is never relayed again.
    pub relayed: bool,
    /// The driver's handle of the packet's bytes.
    pub token: PacketToken,
}
