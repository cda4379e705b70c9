use crate::number::number_newtype;

number_newtype! {
    /// The version of a user's settings; it rises with each accepted edit and never falls.
    Version(u64)
}

impl Version {
    /// Returns the version after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the version as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}
