/// Holds the limits that a shard's value obeys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardRules {
    /// Claims that the shard holds at most.
    pub capacity: usize,
    /// The age in seconds at which a claim is removed.
    pub retention_s: u64,
    /// The age in seconds at which a held claim may be taken over; `None`, the default, is never.
    pub lease_s: Option<u64>,
    /// Whether a taken claim must be marked as started before the work is sent.
    pub start_write: bool,
}

impl Default for ShardRules {
    fn default() -> Self {
        Self {
            capacity: 8_000,
            retention_s: 86_400,
            lease_s: None,
            start_write: false,
        }
    }
}
