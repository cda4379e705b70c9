use xxhash_rust::xxh3::xxh3_64;

use crate::number::number_newtype;

number_newtype! {
    /// The id of a service.
    ///
    /// It is a 32-bit hash of the service's path in the settings tree, so that every process
    /// derives the same id without coordination.
    ServiceId(u32)
}

impl ServiceId {
    /// Returns the id of the service at the given path, such as `granite/gradebook`.
    pub fn from_name(path: &str) -> Self {
        Self(xxh3_64(path.as_bytes()) as u32)
    }

    /// Returns the id as the number used on the wire.
    pub const fn get(self) -> u32 {
        self.0
    }
}
