use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Identifies one attempt to run a request; the core assigns it, unique across gateways.
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
pub struct AttemptId(u64);

impl AttemptId {
    /// Returns the id as the number used on the wire.
    pub const fn get(self) -> u64 {
        self.0
    }
}
