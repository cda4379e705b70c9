use crate::number::number_newtype;

number_newtype! {
    /// A revision of the platform's store within one of its eras.
    Revision(u64)
}

impl Revision {
    /// The revision before every change.
    pub const ZERO: Self = Self(0);
}
