use std::time::Duration;

use crate::units::MonoTime;

/// An age in units of 10 ms, or none if the event is older than 2.54 s or did not happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservationAge(u8);

const UNIT_MS: u128 = 10;

impl ObservationAge {
    /// The age of an event that did not happen, or did long ago.
    pub const NONE: Self = Self(u8::MAX);

    /// Returns the age at `now` of the event at `at`, rounded up, because the way of the message takes
    /// time too.
    pub fn new(now: MonoTime, at: Option<MonoTime>) -> Self {
        let Some(at) = at else {
            return Self::NONE;
        };
        let units = now.since(at).as_millis().div_ceil(UNIT_MS);
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }

    /// Returns the age; `None` if it is unknown.
    pub fn get(self) -> Option<Duration> {
        (self != Self::NONE).then(|| Duration::from_millis(u64::from(self.0) * UNIT_MS as u64))
    }

    /// Returns the time of the event, seen at `now`.
    pub(crate) fn time(self, now: MonoTime) -> Option<MonoTime> {
        self.get().map(|age| now - age)
    }

    pub(crate) const fn to_byte(self) -> u8 {
        self.0
    }

    pub(crate) const fn from_byte(byte: u8) -> Self {
        Self(byte)
    }
}
