use serde::{Deserialize, Serialize};

use zinniadrift_core::ids::ZoneName;
use zinniadrift_core::units::Version;

/// The fields of a daemon's status object that editors and `zinniadrift-ctl` read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonStatusSummary {
    /// The daemon's name.
    pub name: Box<str>,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The daemon's role, such as `balancer`.
    pub role: Box<str>,
    /// The version of the settings in force.
    pub version: Version,
    /// The life-cycle state, if the daemon reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<Box<str>>,
}

impl DaemonStatusSummary {
    /// Returns whether the daemon reported that it stopped.
    pub fn is_stopped(&self) -> bool {
        let state = self.state.as_deref();
        state.is_some_and(|s| s.eq_ignore_ascii_case("stopped"))
    }
}
