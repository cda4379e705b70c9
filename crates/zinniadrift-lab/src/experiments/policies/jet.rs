use zinniadrift_core::flow::{FlowPacket, PacketKind};
use zinniadrift_core::ids::TargetId;

use super::flow_tables::FlowTables;
use super::rule::{Rule, RuleContext};

/// A rule that tracks only the flows whose target differs from the one in the Maglev table over all
/// listed targets.
#[derive(Debug, Default)]
pub(crate) struct Jet {
    tracked: FlowTables,
}

impl Rule for Jet {
    fn place(&mut self, member: usize, pkt: &FlowPacket, cx: &mut RuleContext) -> Option<TargetId> {
        let view = &cx.views[member];
        let tracked = self.tracked.get(member, &pkt.flow);
        if matches!(pkt.kind, PacketKind::Close | PacketKind::Reset) {
            self.tracked.remove(member, &pkt.flow);
        }
        if let Some(target) = tracked.filter(|t| view.is_alive(*t)) {
            return Some(target);
        }
        let listed = view.listed_target(&pkt.flow)?;
        if pkt.kind != PacketKind::Open {
            return Some(listed);
        }
        let live = view.live_target(&pkt.flow)?;
        if live != listed {
            self.tracked.insert(member, &pkt.flow, live);
        }
        Some(live)
    }

    fn clear_member(&mut self, member: usize) {
        self.tracked.clear(member);
    }

    fn state_bytes(&self) -> u64 {
        self.tracked.bytes()
    }
}
