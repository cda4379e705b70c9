use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Tells one claim of a key from every other claim of the same key.
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
pub struct ClaimToken(u64);
