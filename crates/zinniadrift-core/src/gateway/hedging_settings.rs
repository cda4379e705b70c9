use serde::{Deserialize, Serialize};

use super::HedgeLimit;

/// A gateway's own settings for second attempts.
///
/// The policies in the settings tree choose the routes, their shares and their delays.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct HedgingSettings {
    /// Whether this gateway sends second attempts at all.
    pub enabled: bool,
    /// The largest share of a route's requests at this gateway that may get a second attempt.
    pub share: HedgeLimit,
}
