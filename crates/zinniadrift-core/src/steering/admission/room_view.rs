use std::time::Duration;

/// The capacity of a service's usable targets and how much of it is in use.
///
/// Where the numbers come from is up to the caller: counts of all balancers, or an estimate from
/// response times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomView {
    /// The requests that the usable targets process at once.
    pub slots: u32,
    /// The slots, and the requests that the usable targets queue beyond them.
    pub places: u32,
    /// The requests under way at the usable targets, over all balancers.
    pub outstanding: f32,
    /// The response time of a request that does not queue.
    pub response_time: Duration,
    /// The responses a second to requests of this balancer: its part of the capacity while the
    /// targets are busy.
    pub completed_per_s: f32,
}

impl RoomView {
    /// Returns the expected time that a new request queues.
    pub fn wait(&self) -> Duration {
        self.wait_behind(self.outstanding)
    }

    /// Returns the time that a request queues when all places are taken.
    pub fn full_wait(&self) -> Duration {
        self.wait_behind(self.places as f32)
    }

    /// Returns the number of outstanding requests at which a new one queues for `wait`.
    pub fn outstanding_at(slots: u32, response_time: Duration, wait: Duration) -> f32 {
        let per_slot = wait.as_secs_f32() / response_time.as_secs_f32().max(MIN_RESPONSE_S);
        slots as f32 * (1.0 + per_slot)
    }

    fn wait_behind(&self, outstanding: f32) -> Duration {
        let slots = self.slots as f32;
        let queued = (outstanding - slots).max(0.0);
        let response_s = self.response_time.as_secs_f32().max(MIN_RESPONSE_S);
        let wait_s = queued / slots.max(1.0) * response_s;
        Duration::try_from_secs_f32(wait_s).unwrap_or(Duration::MAX)
    }
}

/// The shortest response time in seconds that estimates are made with.
const MIN_RESPONSE_S: f32 = 1e-3;
