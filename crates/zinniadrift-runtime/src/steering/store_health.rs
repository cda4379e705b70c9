/// What the calls of the feeds with short waits show about the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct StoreHealth {
    /// The number of failed calls.
    pub(super) failures: u64,
    /// The number of successful calls.
    pub(super) responses: u64,
    /// Whether the last call succeeded.
    pub(super) responds: bool,
}
