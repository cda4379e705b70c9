use std::time::Duration;

use crate::ids::ZoneName;

/// Sets the limits of [`Steering`](super::Steering).
#[derive(Clone, Debug, PartialEq)]
pub struct SteeringSettings {
    /// The availability zone of the balancer.
    pub zone: ZoneName,
    /// The time for which a target that is missing in the store may still live.
    ///
    /// Targets register again within two seconds of the store's return; half a second covers the
    /// way of the change to the balancer.
    pub lapse_grace: Duration,
    /// The age from which a directory or configuration is no ground for a reset.
    ///
    /// The store confirms at least every `watch_wait`, and a relay and the way add two seconds.
    pub max_staleness: Duration,
    /// The longest life of a flow, for which ended targets are remembered.
    pub flow_lifetime: Duration,
    /// The time for which a target gets no new flow after it left an opening packet unanswered.
    ///
    /// One opening packet in flight at a time is enough to find out that the target answers again.
    pub suspicion_timeout: Duration,
    /// The number of flows whose packets are observed for load estimates.
    pub tracked_flows: usize,
    /// The number of this balancer's requests that wait at a target before it counts as full.
    ///
    /// Targets queue a few more requests than they have slots; beyond eight they refuse.
    pub queue_limit: u32,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        Self {
            zone: ZoneName::default(),
            lapse_grace: Duration::from_millis(2_500),
            max_staleness: Duration::from_secs(6),
            flow_lifetime: Duration::from_secs(60),
            suspicion_timeout: Duration::from_millis(1_500),
            tracked_flows: 16_384,
            queue_limit: 8,
        }
    }
}

/// Sets the pace of [`WatchLoop`](super::WatchLoop).
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// The longest wait of one watch call.
    pub watch_wait: Duration,
    /// The pause after a change, so that one call collects changes that come close together.
    pub coalesce_delay: Duration,
    /// How long a newcomer waits for a relay before it watches the store itself.
    pub relay_wait: Duration,
    /// The first pause after a failed call; doubled up to `retry_max`.
    pub retry_min: Duration,
    /// The longest pause after failed calls.
    pub retry_max: Duration,
}

/// What a slow store, the way through peers and a slow processor add to the time between two
/// confirmations.
const USUAL_DELAY: Duration = Duration::from_millis(800);

impl WatchSettings {
    /// Returns the age below which knowledge is confirmed again while the store answers.
    pub fn expected_max_age(&self) -> Duration {
        self.watch_wait + USUAL_DELAY
    }
}

impl Default for WatchSettings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_secs(4),
            coalesce_delay: Duration::from_millis(400),
            relay_wait: Duration::from_millis(300),
            retry_min: Duration::from_millis(100),
            retry_max: Duration::from_secs(1),
        }
    }
}
