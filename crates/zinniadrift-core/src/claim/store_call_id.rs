use crate::number::number_newtype;

number_newtype! {
    /// Matches the result of a platform call to the call, within one run of a gateway.
    StoreCallId(u64)
}
