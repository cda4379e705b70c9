use crate::number::number_newtype;

number_newtype! {
    /// The number of times that the store came back from an older copy.
    ///
    /// Revisions of different eras cannot be compared: a revision may be given out again with
    /// another content.
    Era(u64)
}

impl Era {
    /// The era before the store first came back, and of stores that name none.
    pub const ZERO: Self = Self(0);
}
