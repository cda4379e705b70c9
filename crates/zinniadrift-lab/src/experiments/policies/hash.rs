use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::TargetId;

use super::rule::{Rule, RuleContext};

/// A rule that places flows by their hash modulo the number of live targets.
#[derive(Debug)]
pub(crate) struct Hash;

impl Rule for Hash {
    fn place(&mut self, member: usize, pkt: &FlowPacket, cx: &mut RuleContext) -> Option<TargetId> {
        cx.views[member].modulo_target(&pkt.flow)
    }

    fn clear_member(&mut self, _member: usize) {}

    fn state_bytes(&self) -> u64 {
        0
    }
}
