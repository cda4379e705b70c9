use serde::{Deserialize, Serialize};

/// The faults that a [`MemoryStore`](crate::MemoryStore) injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// Whether every call fails without effect.
    pub down: bool,
    /// The number of next writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// The number of next writes that are lost before they take effect.
    pub lose_requests: u32,
    /// The number of next reads of single objects that return the object before its last write.
    pub stale_reads: u32,
    /// The delay of every call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The delay of every answer after the call took effect, in milliseconds.
    pub answer_delay_ms: u64,
}
