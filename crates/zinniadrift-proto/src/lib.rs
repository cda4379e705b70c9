//! Defines the messages between zinniadrift's own processes.
//!
//! The types in [`v1`] are generated from `proto/zinniadrift.proto` by `cargo xtask generate`.

mod datagram;
mod datagram_error;

pub use datagram::MAX_PEER_DATAGRAM_BYTES;
pub use datagram_error::DatagramError;

/// Generated protobuf messages and tonic stubs.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod v1 {
    include!("generated/zinniadrift.v1.rs");
}
