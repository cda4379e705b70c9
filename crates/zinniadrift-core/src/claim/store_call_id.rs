use crate::number::number_newtype;

number_newtype! {
    /// The id that matches a result to its platform call, unique within one run of a gateway.
    StoreCallId(u64)
}
