use crate::number::number_newtype;

number_newtype! {
    /// The id of an attempt to run a request, unique across gateways and assigned by the state
    /// machine.
    AttemptId(u64)
}

impl AttemptId {
    /// Returns the id as the number used on the wire.
    pub const fn get(self) -> u64 {
        self.0
    }
}
