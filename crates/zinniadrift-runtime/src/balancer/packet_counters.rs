/// Counters of packets that the driver drops, in addition to the counters of the core.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PacketCounters {
    /// Datagrams that are not a complete Geneve frame with a TCP packet.
    pub malformed: u64,
    /// Packets that arrived before the first settings.
    pub not_joined: u64,
    /// Packets whose target or peer has no known address.
    pub no_address: u64,
    /// Packets that the socket failed to send.
    pub send_failed: u64,
    /// Held packets dropped because the driver's buffer was full.
    pub hold_full: u64,
}
