use crate::number::number_newtype;

number_newtype! {
    /// The number of the platform object that stores a claim: `claims/<user>/<shard>`.
    ShardId(u32)
}

impl ShardId {
    /// Returns the id as the number used on the wire and in object names.
    pub const fn get(self) -> u32 {
        self.0
    }
}
