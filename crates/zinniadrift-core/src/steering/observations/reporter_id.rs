use xxhash_rust::xxh3::xxh3_64;

use crate::number::number_newtype;

number_newtype! {
    /// The number of a balancer's process, which names it in reports and is the epoch of its table.
    ///
    /// Two processes have the same number only by an accident of hashing; zero is no process.
    ReporterId(u64)
}

impl ReporterId {
    /// The value of messages that name no process.
    pub const NONE: Self = Self(0);

    /// Returns the number of the process that is described by `bytes`, for example by its name and
    /// the time of its start.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        Self(xxh3_64(bytes).max(1))
    }

    /// Returns whether this is the value of messages that name no process.
    #[allow(
        clippy::trivially_copy_pass_by_ref,
        reason = "the signature that serde expects"
    )]
    pub fn is_none(&self) -> bool {
        *self == Self::NONE
    }
}
