use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::steering::{CapacityShare, millis};

/// A part of the interval that a peer grants for a limited time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareGrant {
    /// The granted part.
    pub share: CapacityShare,
    /// The time for which it may be used, in whole milliseconds, from when the request was sent.
    ///
    /// It includes the time for which the peer held the request open, so that a long wait does not
    /// shorten the grant.
    #[serde(rename = "valid_ms", with = "millis")]
    pub valid_for: Duration,
}
