use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Matches the result of a platform call to the call, within one run of a gateway.
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
pub struct StoreOp(u64);
