/// The counters of a balancer since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Packets forwarded to targets.
    pub forwarded: u64,
    /// Packets relayed to a synchronised peer.
    pub relayed: u64,
    /// Packets held until a publication was acknowledged.
    pub held: u64,
    /// Held packets released after all acknowledgements.
    pub confirmed: u64,
    /// Held packets released without all acknowledgements.
    pub unconfirmed: u64,
    /// Packets dropped because no service has their destination address.
    pub dropped_unknown_service: u64,
    /// Packets dropped because their service has no target that can take the flow.
    pub dropped_no_target: u64,
    /// Packets dropped because they arrived before any settings.
    pub dropped_no_settings: u64,
    /// Packets dropped because the buffer for held packets was full.
    pub dropped_hold_full: u64,
    /// Held packets dropped after a pause of this process.
    pub dropped_stale: u64,
    /// Flows placed on the base target.
    pub placed_base: u64,
    /// Flows placed as forced exceptions.
    pub placed_forced: u64,
    /// Flows placed as balance exceptions.
    pub placed_balance: u64,
    /// Flows placed elsewhere because the base target ramps up.
    pub placed_cold_start: u64,
    /// Optional exceptions skipped: empty token bucket, unresponsive member, unsynchronised.
    pub optional_skipped: u64,
    /// Flows for which a full flow table had no entry that may be evicted.
    pub table_full: u64,
    /// Flow entries evicted because the base table reproduces them.
    pub evicted: u64,
    /// Flow entries removed by the idle timeout or after the closed-flow timeout.
    pub expired: u64,
    /// Publications sent, counted once for all receivers.
    pub publications: u64,
    /// Flows of moved buckets published by a rebase.
    pub rebase_published: u64,
    /// Retransmitted publications, counted per receiver.
    pub retransmissions: u64,
    /// Publications that a member did not acknowledge in time, counted per member.
    pub publish_timeouts: u64,
    /// Detected gaps in the publications of peers.
    pub gaps: u64,
    /// Pauses of this process that were detected.
    pub pauses: u64,
    /// Snapshots received completely.
    pub snapshots_received: u64,
    /// Snapshots sent.
    pub snapshots_sent: u64,
    /// Settings of a lower version that were rejected.
    pub stale_settings: u64,
    /// Messages of an earlier incarnation of a peer, which were rejected.
    pub stale_incarnation: u64,
    /// Messages sent to peers.
    pub peer_messages_sent: u64,
    /// Bytes sent to peers, including IP and UDP headers, from [`super::PeerMessage::encoded_len`].
    pub peer_bytes_sent: u64,
}
