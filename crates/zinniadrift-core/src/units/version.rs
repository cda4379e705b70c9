use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Numbers the accepted states of a user's settings; it only rises.
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
pub struct Version(u64);

impl Version {
    /// Returns the version after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the version as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}
