//! Encodes and decodes the Geneve encapsulation (RFC 8926) of callers' packets.

mod decode_error;
mod frame;

pub use decode_error::DecodeError;
pub use frame::{Frame, MAX_DATAGRAM_BYTES};
