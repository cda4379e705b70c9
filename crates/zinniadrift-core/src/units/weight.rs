use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// A target's share of its service's flows relative to the other targets.
///
/// The default is 100; a target of weight zero gets no new flows.
#[derive(
    Clone,
    Copy,
    Debug,
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
pub struct Weight(u16);

impl Weight {
    /// Returns the weight as a number.
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl Default for Weight {
    fn default() -> Self {
        Self(100)
    }
}
