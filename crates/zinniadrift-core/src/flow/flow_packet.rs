use super::FlowKey;
use crate::ids::PacketToken;

/// Tells where in the life of its flow a packet stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PacketKind {
    /// A TCP SYN.
    Open,
    /// Any packet of an established flow.
    Established,
    /// A TCP FIN.
    Close,
    /// A TCP RST.
    Reset,
}

/// Describes one packet to the core; the driver keeps the bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowPacket {
    /// The flow that the packet belongs to.
    pub flow: FlowKey,
    /// The packet's place in the flow.
    pub kind: PacketKind,
    /// Whether another balancer relayed the packet; it is never relayed twice.
    pub relayed: bool,
    /// The driver's name for the packet's bytes.
    pub token: PacketToken,
}
