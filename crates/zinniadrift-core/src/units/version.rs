use crate::number::number_newtype;

number_newtype! {
    /// Numbers the accepted states of a user's settings; it only rises.
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
