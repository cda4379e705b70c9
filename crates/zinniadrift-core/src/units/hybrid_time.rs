use derive_more::{Display, From, Into};

/// Orders changes of flow entries across members: a hybrid logical clock in microseconds.
///
/// It follows the member's wall clock but never falls behind a time received from a peer.
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
