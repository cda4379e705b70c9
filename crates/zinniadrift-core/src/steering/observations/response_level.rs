use std::time::Duration;

/// A response time on a logarithmic scale with eight steps per doubling; a step is 9%.
///
/// Zero means that no response was seen. The scale ends at 65 minutes.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ResponseLevel(u8);

/// The steps per doubling.
const STEPS: f32 = 8.0;

impl ResponseLevel {
    /// The level of a target without a response.
    pub const NONE: Self = Self(0);

    /// Returns the level of a response time.
    pub fn from_duration(took: Duration) -> Self {
        Self::from_log2_micros((took.as_micros() as f32).max(1.0).log2())
    }

    /// Returns the level of the binary logarithm of a time in microseconds.
    pub(crate) fn from_log2_micros(log2: f32) -> Self {
        // A conversion of a float to an integer saturates.
        Self(((log2 * STEPS).round() as u8).max(1))
    }

    /// Returns the binary logarithm of the time in microseconds; `None` without a response.
    pub(crate) fn log2_micros(self) -> Option<f32> {
        (self != Self::NONE).then(|| f32::from(self.0) / STEPS)
    }

    pub(crate) const fn to_byte(self) -> u8 {
        self.0
    }

    pub(crate) const fn from_byte(byte: u8) -> Self {
        Self(byte)
    }
}
