use std::net::SocketAddrV4;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Names the target of a flow inside the flow's own packets.
///
/// The value depends on the target's name and on the service address, so that a cookie copied to a
/// flow of another service names no target there. Zero means that there is no cookie.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, PartialEq)]
#[display("{_0:08x}")]
pub struct Cookie(u32);

impl Cookie {
    /// Is the value of packets that no balancer has marked yet.
    pub const NONE: Self = Self(0);

    /// Returns the cookie of flows to `tag`'s target through the service address `service`.
    pub fn encode(tag: TargetTag, service: SocketAddrV4) -> Self {
        Self(tag.0 ^ address_mask(service))
    }

    /// Returns the tag of the target that the cookie names for flows to `service`.
    pub fn decode(self, service: SocketAddrV4) -> TargetTag {
        TargetTag(self.0 ^ address_mask(service))
    }
}

/// Is the part of a cookie that depends on the target alone.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetTag(u32);

impl TargetTag {
    /// Derives the tag from the target's name.
    pub fn from_name(name: &str) -> Self {
        // The high bit is set here and cleared in every mask, so that no cookie is zero.
        Self(xxh3_64(name.as_bytes()) as u32 | HIGH_BIT)
    }
}

/// Tells the receiving host which instance a packet is meant for; zero addresses any instance.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, PartialEq, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct InstanceId(u64);

const HIGH_BIT: u32 = 1 << 31;

fn address_mask(service: SocketAddrV4) -> u32 {
    let mut bytes = [0_u8; 6];
    bytes[..4].copy_from_slice(&service.ip().octets());
    bytes[4..].copy_from_slice(&service.port().to_be_bytes());
    xxh3_64(&bytes) as u32 & !HIGH_BIT
}
