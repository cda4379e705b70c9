use xxhash_rust::xxh3::xxh3_64;

use crate::number::number_newtype;

number_newtype! {
    /// The id of a target of a service.
    ///
    /// It is a 32-bit hash of the service's path and the target's name, so that every process
    /// derives the same id without coordination.
    TargetId(u32)
}

impl TargetId {
    /// Returns the id of the target with the given service path and name.
    pub fn from_name(service: &str, name: &str) -> Self {
        Self(xxh3_64(format!("{service}/{name}").as_bytes()) as u32)
    }

    /// Returns the id as the number used on the wire.
    pub const fn get(self) -> u32 {
        self.0
    }
}
