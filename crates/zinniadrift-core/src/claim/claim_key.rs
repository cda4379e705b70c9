use derive_more::{Display, From, Into, LowerHex};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_128;

use super::ShardId;
use crate::gateway::IdempotencyKey;
use crate::ids::ServiceId;

/// The 128-bit hash of a service and an idempotency key.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, LowerHex, Ord, PartialEq, PartialOrd,
)]
#[display("{_0:032x}")]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Derives the key of a request.
    pub fn new(service: ServiceId, key: &IdempotencyKey) -> Self {
        Self(xxh3_128(format!("{service}/{key}").as_bytes()))
    }

    /// Returns the shard that holds the key when claims are spread over `shards` shards.
    pub fn shard(self, shards: u32) -> ShardId {
        let high = (self.0 >> 64) as u64;
        ShardId::from((high % u64::from(shards.max(1))) as u32)
    }
}

impl Serialize for ClaimKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ClaimKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}
