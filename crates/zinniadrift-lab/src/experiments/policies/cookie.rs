use hashbrown::HashMap;

use zinniadrift_core::flow::{FlowPacket, PacketKind};
use zinniadrift_core::ids::TargetId;

use super::rule::{Rule, RuleContext};

/// Lets the packet name its target, as where both ends return a value that balancers choose.
///
/// Members remember nothing. What the ends of a flow return is kept here in their place.
#[derive(Debug, Default)]
pub(crate) struct Cookie {
    returned: HashMap<u64, TargetId>,
}

impl Rule for Cookie {
    fn place(&mut self, member: usize, pkt: &FlowPacket, cx: &mut RuleContext) -> Option<TargetId> {
        let flow = pkt.flow.hash64();
        match pkt.kind {
            PacketKind::Open => {
                let target = cx.views[member].live_owner(&pkt.flow)?;
                self.returned.insert(flow, target);
                Some(target)
            }
            PacketKind::Established => self.returned.get(&flow).copied(),
            PacketKind::Close | PacketKind::Reset => self.returned.remove(&flow),
        }
    }

    fn forget(&mut self, _member: usize) {}

    fn state_bytes(&self) -> u64 {
        0
    }
}
