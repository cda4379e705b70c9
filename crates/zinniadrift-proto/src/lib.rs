//! Messages between zinniadrift's own processes.
//!
//! The types in [`v1`] are generated from `proto/zinniadrift.proto` by `cargo xtask generate`; the
//! other modules convert them to and from the types of `zinniadrift-core`, one message per file.

mod base_set;
mod claim_op;
mod claim_verdict;
mod datagram;
mod datagram_error;
mod heartbeat;
mod known_state;
mod nanos;
mod peer_update;
mod peer_update_error;
mod pin_group;
mod publication_mark;
mod rebase_status;
mod route_delta;
mod service_address;
mod share_grant;
mod snapshot_part;
mod stored_answer;
mod target_change;
mod zone_drains;
mod zone_table;

pub use datagram::MAX_PEER_DATAGRAM_BYTES;
pub use datagram_error::DatagramError;
pub use peer_update_error::PeerUpdateError;

/// The generated protobuf messages and tonic stubs.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
pub mod v1 {
    include!("generated/zinniadrift.v1.rs");
}
