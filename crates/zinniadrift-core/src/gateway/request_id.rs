use crate::number::number_newtype;

number_newtype! {
    /// Identifies a request within one run of a gateway; the driver assigns it.
    RequestId(u64)
}
