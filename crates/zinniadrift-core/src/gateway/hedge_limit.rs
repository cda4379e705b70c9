use derive_more::{Display, Into};
use serde::{Deserialize, Serialize};

/// The largest share of requests that may get a second attempt, from 0.0 to 0.5.
#[derive(Clone, Copy, Debug, Deserialize, Display, Into, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct HedgeLimit(f64);

/// The error for a share outside of the accepted range.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{_0} is not accepted; expected a number from 0 to {}", HedgeLimit::MAX.0)]
pub struct HedgeLimitError(f64);

impl std::error::Error for HedgeLimitError {}

impl HedgeLimit {
    /// The largest accepted share. Hedging serves the tail of the response times, which is far less
    /// than half of the requests.
    pub const MAX: Self = Self(0.5);

    /// Returns the share.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Default for HedgeLimit {
    fn default() -> Self {
        Self(0.02)
    }
}

impl TryFrom<f64> for HedgeLimit {
    type Error = HedgeLimitError;

    fn try_from(share: f64) -> Result<Self, HedgeLimitError> {
        if (0.0..=Self::MAX.0).contains(&share) {
            Ok(Self(share))
        } else {
            Err(HedgeLimitError(share))
        }
    }
}

impl std::str::FromStr for HedgeLimit {
    type Err = HedgeLimitError;

    fn from_str(text: &str) -> Result<Self, HedgeLimitError> {
        text.parse().unwrap_or(f64::NAN).try_into()
    }
}
