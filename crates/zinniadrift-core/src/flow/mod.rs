//! Describes flows and their packets.

mod flow_key;
mod flow_packet;
mod pin;

pub use flow_key::FlowKey;
pub use flow_packet::{FlowPacket, PacketKind};
pub use pin::Pin;
