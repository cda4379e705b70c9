use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ZoneName;
use crate::steering::Position;

/// A peer's full set of drained availability zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneDrainsUpdate {
    /// The position of the store up to which the set is known.
    pub as_of: Position,
    /// The time since the store confirmed the set.
    pub age: Duration,
    /// The zones that the store lists.
    pub listed: Vec<ZoneName>,
    /// The zones that only an earlier era of the store listed, and that stay out of service for a
    /// while.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kept: Vec<ZoneName>,
    /// The time for which the zones in `kept` stay out of service.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub kept_for: Duration,
}
