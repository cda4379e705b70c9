use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use zinniadrift_core::gateway::HedgingSettings;
use zinniadrift_core::ids::ZoneName;

use super::settings_file::{parse_settings, read_settings};
use super::{DaemonError, Seed};

/// The settings file of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The daemon's name, unique among the user's daemons.
    pub name: Box<str>,
    /// The user whose settings and services the daemon serves.
    pub user: Box<str>,
    /// The availability zone that the daemon is in.
    pub zone: ZoneName,
    /// The address on which the daemon receives packets (UDP) or requests (TCP).
    pub listen: SocketAddr,
    /// The address on which the daemon receives messages of the user's other daemons (UDP and TCP).
    pub peer: SocketAddr,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The daemons to contact at the start when the platform is unavailable.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// The address of the statsd server to which metrics are sent (UDP).
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// The address of the time line collector.
    #[serde(default)]
    pub timeline: Option<SocketAddr>,
    /// The time in milliseconds without packets after which a leaving balancer exits.
    #[serde(default)]
    pub drain_quiet_ms: Option<u64>,
    /// The maximum time in milliseconds that a leaving daemon takes to finish its work.
    #[serde(default)]
    pub drain_deadline_ms: Option<u64>,
    /// The switch and the limit of a gateway's second attempts; balancers ignore it.
    #[serde(default)]
    pub hedging: HedgingSettings,
}

impl DaemonSettings {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not valid JSON, or has missing, unknown or mistyped
    /// fields.
    pub fn load(path: &Path) -> Result<Self, DaemonError> {
        parse_settings(&read_settings(path)?, &path.display().to_string())
    }
}
