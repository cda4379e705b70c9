use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Matches the answer of a shard writer to a forwarded batch; it is unique across gateways.
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
pub struct BatchId(u64);
