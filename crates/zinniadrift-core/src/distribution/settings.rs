use std::time::Duration;

use crate::ids::{MemberId, ZoneName};

/// The configuration of one daemon's settings distribution.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributionSettings {
    /// This daemon's id.
    pub member: MemberId,
    /// This daemon's availability zone.
    pub zone: ZoneName,
    /// The seed of the random number generator.
    pub seed: u64,
    /// Whether seed addresses of peers are configured, so that a starting daemon waits for the
    /// versions of its peers.
    pub expects_peers: bool,
    /// The number of daemons per availability zone that watch the platform.
    ///
    /// With two, one remains in each zone if a watcher dies or receives an update late.
    pub watchers_per_zone: usize,
    /// The longest time for which the platform may hold a watch call.
    pub watch_wait: Duration,
    /// The mean interval between reads by a daemon that does not watch.
    pub poll_interval: Duration,
    /// The shortest interval between reads that ignore the object's revision.
    ///
    /// Such reads are needed because a restored store may count revisions from a lower number,
    /// which a watch does not report.
    pub resync_interval: Duration,
    /// The bandwidth in bytes per second for reads that ignore the revision; a large document is
    /// read less often.
    pub resync_bytes_per_s: f64,
    /// The mean delay after the first failed call; it doubles with each further failure.
    pub retry_delay: Duration,
    /// The upper bound of the mean delay after a failed call.
    pub retry_delay_max: Duration,
    /// The time after which a pull is considered failed.
    pub pull_timeout: Duration,
    /// The time for which a joining daemon waits for the versions of its peers before it uses the
    /// platform's document. It covers one heartbeat interval of 1 s.
    pub join_wait: Duration,
    /// The time after which a joining daemon uses the highest version that it has obtained.
    pub join_timeout: Duration,
    /// The shortest interval between writes of the status object.
    pub status_interval: Duration,
    /// The sustained rate of platform calls per second.
    pub calls_per_s: f64,
    /// The number of platform calls that may be made in a burst.
    pub call_burst: f64,
    /// Whether documents with a lower version are refused. Experiments disable this to show the
    /// reverts that it prevents.
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
