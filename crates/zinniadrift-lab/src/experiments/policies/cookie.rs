use hashbrown::HashMap;

use zinniadrift_core::flow::{FlowPacket, PacketKind};
use zinniadrift_core::ids::TargetId;

use super::rule::{Rule, RuleContext};

/// A rule under which each packet carries its target in a cookie that the balancer chose.
///
/// Members hold no flow state. The map stands for the cookies that the two ends of each flow
/// return.
#[derive(Debug, Default)]
pub(crate) struct Cookie {
    cookies: HashMap<u64, TargetId>,
}

impl Rule for Cookie {
    fn place(&mut self, member: usize, pkt: &FlowPacket, cx: &mut RuleContext) -> Option<TargetId> {
        let flow = pkt.flow.hash64();
        match pkt.kind {
            PacketKind::Open => {
                let target = cx.views[member].live_target(&pkt.flow)?;
                self.cookies.insert(flow, target);
                Some(target)
            }
            PacketKind::Established => self.cookies.get(&flow).copied(),
            PacketKind::Close | PacketKind::Reset => self.cookies.remove(&flow),
        }
    }

    fn clear_member(&mut self, _member: usize) {}

    fn state_bytes(&self) -> u64 {
        0
    }
}
