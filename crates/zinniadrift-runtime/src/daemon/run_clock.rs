use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use zinniadrift_core::ids::Incarnation;
use zinniadrift_core::units::MonoTime;

/// Is the monotonic clock of one run of a daemon.
///
/// It starts at the Unix time of the start, so that times of several hosts compare roughly.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    unix_start: Duration,
    started: Instant,
}

impl RunClock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            unix_start,
            started: Instant::now(),
        }
    }

    /// Returns the time since the Unix epoch; it does not follow later changes of the host's clock.
    pub fn now(&self) -> MonoTime {
        MonoTime::default() + self.unix_start + self.started.elapsed()
    }

    /// Returns the time for which the host was suspended since its start; this clock leaves it out.
    ///
    /// A host without a boot clock shows no suspension.
    pub fn suspended() -> Duration {
        let read = |clock| clock_gettime(clock).map(Duration::from);
        match (
            read(ClockId::CLOCK_BOOTTIME),
            read(ClockId::CLOCK_MONOTONIC),
        ) {
            (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
            _ => Duration::ZERO,
        }
    }

    /// Returns the number of this run; a later run of the same daemon has a higher one.
    pub fn incarnation(&self) -> Incarnation {
        let micros = u64::try_from(self.unix_start.as_micros()).unwrap_or(u64::MAX);
        Incarnation::from(micros)
    }

    /// Returns the tokio time at which this clock shows `time`.
    pub fn instant(&self, time: MonoTime) -> tokio::time::Instant {
        let start = MonoTime::default() + self.unix_start;
        (self.started + time.since(start)).into()
    }
}
