use crate::number::number_newtype;

number_newtype! {
    /// The rate of a host's link in Mbit/s.
    LinkRate(u32)
}

impl LinkRate {
    /// Returns the rate in Mbit/s.
    pub const fn get(self) -> u32 {
        self.0
    }
}
