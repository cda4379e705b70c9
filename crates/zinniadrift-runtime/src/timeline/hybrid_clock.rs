use std::time::Duration;

use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

/// The accepted lead of another host's clock; a timestamp further ahead is ignored as a fault of
/// its sender.
const MAX_CLOCK_DELTA: Duration = Duration::from_secs(60);

/// The hybrid logical clock of a process.
#[derive(derive_more::Debug)]
pub struct HybridClock {
    #[debug(skip)]
    hlc: HLC,
}

impl HybridClock {
    /// Returns the clock of a member with the given incarnation.
    pub fn new(member: u32, incarnation: u64) -> Self {
        let number = (u128::from(incarnation) << 32) | u128::from(member);
        let id = ID::try_from(number).unwrap_or_else(|_| ID::rand());
        let hlc = HLCBuilder::new()
            .with_id(id)
            .with_max_delta(MAX_CLOCK_DELTA)
            .build();
        Self { hlc }
    }

    /// Returns a time later than all times that this clock returned or observed, as NTP64.
    pub fn now(&self) -> u64 {
        self.hlc.new_timestamp().get_time().as_u64()
    }

    /// Advances the clock past a time received from another process, as NTP64.
    pub fn observe(&self, time: u64) {
        let received = Timestamp::new(NTP64(time), *self.hlc.get_id());
        if let Err(e) = self.hlc.update_with_timestamp(&received) {
            tracing::debug!(error = %e, "timestamp of another process ignored");
        }
    }
}
