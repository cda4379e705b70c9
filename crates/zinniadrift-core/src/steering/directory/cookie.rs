use std::net::SocketAddrV4;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A value in a flow's packets that identifies the flow's target.
///
/// It depends on the target's name and on the service address, so a cookie copied to a flow of
/// another service address identifies no target there. Zero means that the packet has no cookie.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, PartialEq)]
#[display("{_0:08x}")]
pub struct Cookie(u32);

impl Cookie {
    /// The value of packets that no balancer has forwarded yet.
    pub const NONE: Self = Self(0);

    /// Returns the cookie for flows through the service address `service` to the target with `tag`.
    pub fn encode(tag: TargetTag, service: SocketAddrV4) -> Self {
        Self(tag.0 ^ address_mask(service))
    }

    /// Returns the tag of the target that the cookie identifies for flows to `service`.
    pub fn decode(self, service: SocketAddrV4) -> TargetTag {
        TargetTag(self.0 ^ address_mask(service))
    }
}

/// The part of a cookie that depends only on the target.
#[derive(Clone, Copy, Debug, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd)]
pub struct TargetTag(u32);

impl TargetTag {
    /// Returns the tag of the target with this name.
    pub fn from_name(name: &str) -> Self {
        // The high bit is set here and cleared in every mask, so that no cookie is zero.
        Self(xxh3_64(name.as_bytes()) as u32 | HIGH_BIT)
    }
}

/// The instance that a packet is meant for, which the receiving host checks; zero matches any
/// instance.
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
