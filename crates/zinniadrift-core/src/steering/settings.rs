use std::time::Duration;

use crate::ids::ZoneName;

/// The settings of [`Steering`](super::Steering).
#[derive(Clone, Debug, PartialEq)]
pub struct SteeringSettings {
    /// The balancer's availability zone.
    pub zone: ZoneName,
    /// The time for which a target that the store no longer lists may still be alive.
    ///
    /// Targets register again within two seconds after the store returns; the other half second
    /// covers the delay of the change on its way to the balancer.
    pub lapse_grace: Duration,
    /// The age beyond which the directory or the configuration is no ground for a reset.
    ///
    /// The store confirms them at least every `watch_wait`; a relay and the network add up to two
    /// seconds.
    pub max_staleness: Duration,
    /// The maximum lifetime of a flow, for which ended targets are remembered.
    pub flow_lifetime: Duration,
    /// The time for which a target gets no new flow after it did not respond to an opening packet.
    ///
    /// A single pending opening packet is enough to find out that the target responds again.
    pub suspicion_timeout: Duration,
    /// The maximum number of flows that are tracked for load estimates.
    pub tracked_flows: usize,
    /// The number of this balancer's requests that may queue at a target before it counts as full.
    ///
    /// Targets queue a few more requests than they have slots; they refuse more than eight.
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

/// The timing of [`WatchLoop`](super::WatchLoop).
#[derive(Clone, Debug, PartialEq)]
pub struct WatchSettings {
    /// The maximum wait of one watch call.
    pub watch_wait: Duration,
    /// The pause after a change, so that one call collects changes that follow each other closely.
    pub coalesce_delay: Duration,
    /// The time that a balancer waits for a relay after its first, possibly stale, list before it
    /// watches the store itself.
    pub relay_wait: Duration,
    /// The first pause after a failed call; it doubles up to `retry_max`.
    pub retry_min: Duration,
    /// The maximum pause after failed calls.
    pub retry_max: Duration,
}

/// The time that a slow store, the hops through peers and a slow processor add to the interval
/// between two confirmations.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(800);

impl WatchSettings {
    /// Returns the age within which knowledge is confirmed again while the store responds.
    pub fn expected_max_age(&self) -> Duration {
        self.watch_wait + CONFIRMATION_DELAY
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
