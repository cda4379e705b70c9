use serde::{Deserialize, Serialize};

/// Says which faults a [`MemoryStore`](crate::MemoryStore) injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// The next this many writes take effect, but their answers are lost.
    pub lose_answers: u32,
    /// The next this many writes are lost before they take effect.
    pub lose_requests: u32,
    /// The next this many reads of single objects return the state before the last write.
    pub stale_reads: u32,
    /// Every call waits this long before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Every answer takes this long after the effect, in milliseconds.
    pub answer_delay_ms: u64,
}
