use crate::number::number_newtype;

number_newtype! {
    /// Numbers the platform object that holds a claim: `claims/<user>/<shard>`.
    ShardId(u32)
}

impl ShardId {
    /// Returns the id as the number used on the wire and in object names.
    pub const fn get(self) -> u32 {
        self.0
    }
}
