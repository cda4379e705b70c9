//! Describes flows and their packets.

mod flow_key;
mod flow_packet;

pub use flow_key::FlowKey;
pub use flow_packet::{FlowPacket, PacketKind};
