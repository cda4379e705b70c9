use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::TargetId;

use super::member_view::MemberView;

/// Decides for a baseline where a packet goes.
pub(crate) trait Rule {
    /// Returns the target of a packet that `member` received.
    fn place(&mut self, member: usize, pkt: &FlowPacket, cx: &mut RuleContext) -> Option<TargetId>;

    /// Forgets what a stopped member held.
    fn forget(&mut self, member: usize);

    /// Returns the bytes of flow state of all members.
    fn state_bytes(&self) -> u64;

    /// Tells whether the members exchange heartbeats.
    fn has_membership(&self) -> bool {
        false
    }
}

/// Gives a rule access to the group.
#[derive(Debug)]
pub(crate) struct RuleContext<'a> {
    pub(crate) views: &'a [MemberView],
    /// Whether the others take a member for alive; the death of a member shows after a timeout.
    pub(crate) believed_alive: &'a [bool],
    pub(crate) control_bytes: &'a mut [u64],
    pub(crate) relayed: &'a mut u64,
    /// The member that holds the packet now; differs from the first one after a relay.
    pub(crate) at_member: usize,
}

impl RuleContext<'_> {
    /// Counts a control datagram with a payload of `payload` bytes at both ends.
    pub(crate) fn count_datagram(&mut self, from: usize, to: usize, payload: u64) {
        self.control_bytes[from] += payload + super::baseline::HEADER_BYTES;
        self.control_bytes[to] += payload + super::baseline::HEADER_BYTES;
    }
}
