use crate::number::number_newtype;

number_newtype! {
    /// Identifies one attempt to run a request; the core assigns it, unique across gateways.
    AttemptId(u64)
}

impl AttemptId {
    /// Returns the id as the number used on the wire.
    pub const fn get(self) -> u64 {
        self.0
    }
}
