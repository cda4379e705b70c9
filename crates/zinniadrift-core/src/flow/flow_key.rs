use std::net::SocketAddrV4;

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64;

/// The identity of a TCP flow: the caller's and the service's address.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{caller}->{service}")]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service's address and port.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Returns a hash that is the same in every process.
    pub fn hash64(&self) -> u64 {
        let mut bytes = [0_u8; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        xxh3_64(&bytes)
    }
}
