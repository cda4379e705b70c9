use derive_more::{Display, From, Into};

/// A timestamp of a hybrid logical clock in microseconds, which orders changes of flow entries
/// across members.
///
/// See [`HybridClock`](crate::units::HybridClock).
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct HybridTime(u64);

impl HybridTime {
    /// Returns the time as the number used on the wire.
    pub const fn get(self) -> u64 {
        self.0
    }
}
