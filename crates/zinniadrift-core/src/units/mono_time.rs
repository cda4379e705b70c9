use std::ops::{Add, Sub};
use std::time::Duration;

use derive_more::{Display, From, Into};

/// A time in microseconds since the origin of a monotonic clock that the driver chooses.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0} us")]
pub struct MonoTime(u64);

impl MonoTime {
    /// Returns the time `micros` microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the time `millis` milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for MonoTime {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}
