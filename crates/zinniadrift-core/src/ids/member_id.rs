use xxhash_rust::xxh3::xxh3_64;

use crate::number::number_newtype;

number_newtype! {
    /// The id of a daemon in a user's group.
    ///
    /// It is a 32-bit hash of the daemon's name, so that every process derives the same id without
    /// coordination.
    MemberId(u32)
}

impl MemberId {
    /// Returns the id of the daemon with the given configured name.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }

    /// Returns the id as the number used on the wire.
    pub const fn get(self) -> u32 {
        self.0
    }
}
