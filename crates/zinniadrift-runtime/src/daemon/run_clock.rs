use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use zinniadrift_core::ids::Incarnation;
use zinniadrift_core::units::MonoTime;

/// The monotonic clock of one run of a daemon.
///
/// It starts at the Unix time at which the daemon starts, so that times of different hosts are
/// roughly comparable.
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

    /// Returns the time since the Unix epoch, unaffected by changes of the host's clock after the
    /// start.
    pub fn now(&self) -> MonoTime {
        MonoTime::default() + self.unix_start + self.started.elapsed()
    }

    /// Returns the total time for which the host was suspended since its boot, which this clock
    /// does not include.
    ///
    /// Returns zero on a host without a boot-time clock.
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

    /// Returns the incarnation of this run; later runs of the same daemon have higher ones.
    pub fn incarnation(&self) -> Incarnation {
        let micros = u64::try_from(self.unix_start.as_micros()).unwrap_or(u64::MAX);
        Incarnation::from(micros)
    }

    /// Converts a time of this clock to tokio's.
    pub fn instant(&self, time: MonoTime) -> tokio::time::Instant {
        let start = MonoTime::default() + self.unix_start;
        (self.started + time.since(start)).into()
    }
}
