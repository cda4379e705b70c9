use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// Tells one run of a daemon from an earlier run under the same name.
///
/// The runtime uses the start time in microseconds since the Unix epoch.
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
pub struct Incarnation(u64);
