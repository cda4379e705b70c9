//! Flow identity, packet metadata and the per-service flow table.

mod flow_entry;
mod flow_key;
mod flow_packet;
mod flow_table;
mod pin;

pub(crate) use flow_entry::FlowEntry;
pub use flow_key::FlowKey;
pub use flow_packet::{FlowPacket, PacketKind};
pub(crate) use flow_table::FlowTable;
pub use pin::Pin;
