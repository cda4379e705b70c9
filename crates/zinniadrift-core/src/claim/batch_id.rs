use crate::number::number_newtype;

number_newtype! {
    /// Matches the answer of a shard writer to a forwarded batch; it is unique across gateways.
    BatchId(u64)
}
