use crate::number::number_newtype;

number_newtype! {
    /// A number that distinguishes a claim from every other claim of the same key.
    ClaimToken(u64)
}
