use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Identifies a request within one run of a gateway; the driver assigns it.
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
pub struct RequestId(u64);
