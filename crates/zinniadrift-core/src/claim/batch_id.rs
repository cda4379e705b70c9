use crate::number::number_newtype;

number_newtype! {
    /// The id that matches a shard writer's answer to a forwarded batch, unique across gateways.
    BatchId(u64)
}
