use zinniadrift_core::flow::{FlowPacket, PacketKind};
use zinniadrift_core::ids::TargetId;

use super::local_tables::LocalTables;
use super::rule::{Rule, RuleContext};

/// Places flows by a Maglev table over the live targets and a flow table on each member.
#[derive(Debug, Default)]
pub(crate) struct Maglev {
    seen: LocalTables,
}

impl Rule for Maglev {
    fn place(&mut self, member: usize, pkt: &FlowPacket, cx: &mut RuleContext) -> Option<TargetId> {
        let view = &cx.views[member];
        let known = self.seen.get(member, &pkt.flow);
        let target = match known.filter(|t| view.is_alive(*t)) {
            Some(target) => target,
            None => view.live_owner(&pkt.flow)?,
        };
        match pkt.kind {
            PacketKind::Open | PacketKind::Established => {
                self.seen.insert(member, &pkt.flow, target);
            }
            PacketKind::Close | PacketKind::Reset => self.seen.remove(member, &pkt.flow),
        }
        Some(target)
    }

    fn forget(&mut self, member: usize) {
        self.seen.clear(member);
    }

    fn state_bytes(&self) -> u64 {
        self.seen.bytes()
    }
}
