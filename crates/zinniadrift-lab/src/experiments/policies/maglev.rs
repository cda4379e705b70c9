use zinniadrift_core::flow::{FlowPacket, PacketKind};
use zinniadrift_core::ids::TargetId;

use super::flow_tables::FlowTables;
use super::rule::{Rule, RuleContext};

/// A rule that places flows by a Maglev table over the live targets and a flow table per member.
#[derive(Debug, Default)]
pub(crate) struct Maglev {
    flows: FlowTables,
}

impl Rule for Maglev {
    fn place(&mut self, member: usize, pkt: &FlowPacket, cx: &mut RuleContext) -> Option<TargetId> {
        let view = &cx.views[member];
        let known = self.flows.get(member, &pkt.flow);
        let target = match known.filter(|t| view.is_alive(*t)) {
            Some(target) => target,
            None => view.live_target(&pkt.flow)?,
        };
        match pkt.kind {
            PacketKind::Open | PacketKind::Established => {
                self.flows.insert(member, &pkt.flow, target);
            }
            PacketKind::Close | PacketKind::Reset => self.flows.remove(member, &pkt.flow),
        }
        Some(target)
    }

    fn clear_member(&mut self, member: usize) {
        self.flows.clear(member);
    }

    fn state_bytes(&self) -> u64 {
        self.flows.bytes()
    }
}
