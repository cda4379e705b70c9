use crate::number::number_newtype;

number_newtype! {
    /// The id of a request, unique within one run of a gateway and assigned by the driver.
    RequestId(u64)
}
