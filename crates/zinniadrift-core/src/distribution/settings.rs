use std::time::Duration;

use crate::ids::{MemberId, ZoneName};

/// Configures the settings distribution of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributionSettings {
    /// This daemon's id.
    pub member: MemberId,
    /// This daemon's availability zone.
    pub zone: ZoneName,
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether the daemon knows seed addresses of peers, so that a start waits for their versions.
    pub expects_peers: bool,
    /// Daemons per availability zone that watch the platform.
    ///
    /// Two, so that a watcher's death or a late update leaves one in each zone.
    pub watchers_per_zone: usize,
    /// The longest time for which one watch call is held.
    pub watch_wait: Duration,
    /// The mean time between two reads by a daemon that does not watch.
    pub poll_interval: Duration,
    /// The shortest time after which the object is read regardless of its revision, because a
    /// restored store may count revisions from a lower number, which a watch does not show.
    pub resync_interval: Duration,
    /// Bytes per second that these reads may cost; a large document is read less often.
    pub resync_bytes_per_s: f64,
    /// The delay after the first failed call; it doubles with each further failure.
    pub retry_delay: Duration,
    /// The longest delay between two failed calls.
    pub retry_delay_max: Duration,
    /// The time after which a pull counts as failed.
    pub pull_timeout: Duration,
    /// The time for which a newcomer waits for the versions of its peers before it trusts the
    /// platform. It covers one heartbeat interval of 1 s.
    pub join_wait: Duration,
    /// The time after which a newcomer uses the best version that it could obtain.
    pub join_timeout: Duration,
    /// The shortest time between two writes of the status object.
    pub status_interval: Duration,
    /// Platform calls per second in the long run.
    pub calls_per_s: f64,
    /// Platform calls that may follow one another at once.
    pub call_burst: f64,
    /// Whether a lower version is refused; experiments switch this off to show what it prevents.
    pub refuse_lower_versions: bool,
}

impl Default for DistributionSettings {
    fn default() -> Self {
        Self {
            member: MemberId::default(),
            zone: ZoneName::default(),
            seed: 0,
            expects_peers: false,
            watchers_per_zone: 2,
            watch_wait: Duration::from_secs(30),
            poll_interval: Duration::from_secs(30),
            resync_interval: Duration::from_secs(30),
            resync_bytes_per_s: 500.0,
            retry_delay: Duration::from_millis(500),
            retry_delay_max: Duration::from_secs(5),
            pull_timeout: Duration::from_secs(1),
            join_wait: Duration::from_millis(1_500),
            join_timeout: Duration::from_secs(5),
            status_interval: Duration::from_secs(1),
            calls_per_s: 2.0,
            call_burst: 10.0,
            refuse_lower_versions: true,
        }
    }
}
