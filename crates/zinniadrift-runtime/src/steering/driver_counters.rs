/// Counters of the driver and its tasks, in addition to those of the core.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DriverCounters {
    pub(crate) received: u64,
    pub(crate) malformed: u64,
    pub(crate) send_failed: u64,
    pub(crate) held_too_long: u64,
    pub(crate) waiting_dropped: u64,
    pub(crate) pauses: u64,
    /// Packets and messages that were ignored because of an internal error.
    pub(crate) inputs_failed: u64,
    pub(crate) lines_suppressed: u64,
    /// The number of peers that hold a lease now; a gauge.
    pub(crate) peers_answered: u64,
}
