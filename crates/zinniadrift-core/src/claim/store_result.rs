use std::sync::Arc;

use super::ClaimShard;

/// The result of reading a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The object exists.
    Found {
        /// Its revision.
        revision: u64,
        /// Its value.
        value: Arc<ClaimShard>,
    },
    /// The object does not exist.
    Absent,
    /// The platform did not answer or refused the call.
    Unavailable,
}

/// The result of a conditional write of a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect.
    Written {
        /// The object's new revision.
        revision: u64,
    },
    /// The precondition did not hold; nothing was written.
    Conflict,
    /// The platform did not answer; the write may have taken effect or may still take effect.
    Unavailable,
}
