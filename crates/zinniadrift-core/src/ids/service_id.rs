use xxhash_rust::xxh3::xxh3_64;

use crate::number::number_newtype;

number_newtype! {
    /// Identifies a service by its path in the settings tree.
    ///
    /// It is a 32-bit hash of the name, so that every process derives the same id without agreement.
    ServiceId(u32)
}

impl ServiceId {
    /// Derives the id from the service's path, such as `granite/gradebook`.
    pub fn from_name(path: &str) -> Self {
        Self(xxh3_64(path.as_bytes()) as u32)
    }

    /// Returns the id as the number used on the wire.
    pub const fn get(self) -> u32 {
        self.0
    }
}
