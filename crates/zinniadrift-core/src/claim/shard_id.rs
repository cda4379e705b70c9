use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Numbers the platform object that holds a claim: `claims/<user>/<shard>`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    FromStr,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(transparent)]
pub struct ShardId(u32);

impl ShardId {
    /// Returns the id as the number used on the wire and in object names.
    pub const fn get(self) -> u32 {
        self.0
    }
}
