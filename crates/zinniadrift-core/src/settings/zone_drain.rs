use serde::{Deserialize, Serialize};

/// The record of the drain of an availability zone.
///
/// Daemons treat every target in the zone as draining. The content informs operators only.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneDrain {
    /// The operator who drained the zone.
    pub by: Box<str>,
    /// The time of the drain in seconds since the Unix epoch.
    pub at_unix_s: u64,
}
