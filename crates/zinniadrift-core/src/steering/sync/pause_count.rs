use crate::number::number_newtype;

number_newtype! {
    /// The number of times that the process was paused.
    ///
    /// A response that was requested before the last pause may be older than it says, because its
    /// age does not include the pause.
    PauseCount(u64)
}

impl PauseCount {
    /// Returns the count after another pause.
    pub(crate) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
