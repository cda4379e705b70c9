use crate::number::number_newtype;

number_newtype! {
    /// Tells one claim of a key from every other claim of the same key.
    ClaimToken(u64)
}
