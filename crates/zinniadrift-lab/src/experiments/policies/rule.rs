use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::TargetId;

use super::member_view::MemberView;

/// The placement rule of a baseline policy.
pub(crate) trait Rule {
    /// Returns the target of a packet that `member` received.
    fn place(&mut self, member: usize, pkt: &FlowPacket, cx: &mut RuleContext) -> Option<TargetId>;

    /// Discards the state of a stopped member.
    fn clear_member(&mut self, member: usize);

    /// Returns the bytes of flow state of all members.
    fn state_bytes(&self) -> u64;

    /// Returns whether the members exchange heartbeats.
    fn has_membership(&self) -> bool {
        false
    }
}

/// The state of the group to which a rule has access.
#[derive(Debug)]
pub(crate) struct RuleContext<'a> {
    pub(crate) views: &'a [MemberView],
    /// Whether each member is considered alive by its peers, which detect a crash after a timeout.
    pub(crate) presumed_alive: &'a [bool],
    pub(crate) control_bytes: &'a mut [u64],
    pub(crate) relayed: &'a mut u64,
    /// The member that has the packet; after a relay not the one that received it.
    pub(crate) handling_member: usize,
}

impl RuleContext<'_> {
    /// Counts a control datagram at the sender and the receiver; `payload` is in bytes.
    pub(crate) fn count_datagram(&mut self, from: usize, to: usize, payload: u64) {
        self.control_bytes[from] += payload + super::baseline::HEADER_BYTES;
        self.control_bytes[to] += payload + super::baseline::HEADER_BYTES;
    }
}
