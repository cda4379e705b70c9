use hashbrown::HashMap;

use crate::flow::FlowKey;
use crate::ids::PacketToken;

/// The tokens of packets that wait for the publication of their flow.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldPackets {
    tokens: HashMap<FlowKey, Vec<PacketToken>>,
    len: usize,
}

impl HeldPackets {
    /// Adds a packet and returns true, unless `capacity` packets are held already.
    pub(super) fn add(&mut self, flow: FlowKey, token: PacketToken, capacity: usize) -> bool {
        if self.len >= capacity {
            return false;
        }
        self.tokens.entry(flow).or_default().push(token);
        self.len += 1;
        true
    }

    /// Removes and returns a flow's packets in the order of their arrival.
    pub(super) fn take(&mut self, flow: &FlowKey) -> Vec<PacketToken> {
        let tokens = self.tokens.remove(flow).unwrap_or_default();
        self.len -= tokens.len();
        tokens
    }

    /// Removes and returns the packets of all flows, sorted by flow.
    pub(super) fn take_all(&mut self) -> Vec<(FlowKey, Vec<PacketToken>)> {
        self.len = 0;
        let mut all: Vec<_> = std::mem::take(&mut self.tokens).into_iter().collect();
        all.sort_unstable();
        all
    }
}
