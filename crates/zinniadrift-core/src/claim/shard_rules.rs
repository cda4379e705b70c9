/// The rules by which changes are applied to a shard's value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardRules {
    /// The largest number of claims in the shard.
    pub capacity: usize,
    /// The age in seconds at which a claim is removed.
    pub retention_s: u64,
    /// The age in seconds at which a held claim may be taken over by another request; `None`, the
    /// default, means never.
    pub lease_s: Option<u64>,
    /// Whether a claim must be marked as started before the work is sent.
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
