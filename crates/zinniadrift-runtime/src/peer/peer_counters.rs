/// Counts the datagrams exchanged with peers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Payload bytes sent.
    pub sent_bytes: u64,
    /// Datagrams that were not sent: too long, unknown receiver or socket error.
    pub unsent: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Datagrams dropped because they were too long or did not decode.
    pub malformed: u64,
    /// Datagrams dropped because they belong to another group.
    pub other_group: u64,
}
