/// Counters of the datagrams exchanged with peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Payload bytes sent.
    pub sent_bytes: u64,
    /// Datagrams that were not sent: too long, receiver without a known address, or socket error.
    pub unsent: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Received datagrams dropped because they were too long or malformed.
    pub malformed: u64,
    /// Received datagrams dropped because they belong to another group.
    pub other_group: u64,
}
