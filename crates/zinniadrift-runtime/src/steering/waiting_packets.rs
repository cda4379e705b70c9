use std::collections::HashMap;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::Segment;

/// The packets of requests that wait for room at their target.
#[derive(Debug, Default)]
pub(super) struct WaitingPackets {
    flows: HashMap<FlowKey, Vec<WaitingPacket>>,
    packets: usize,
    dropped: u64,
}

#[derive(Debug)]
struct WaitingPacket {
    seq: u32,
    datagram: Box<[u8]>,
}

/// The maximum number of packets; of the largest size they take 5 MB.
const CAPACITY: usize = 4_096;
/// The maximum number of packets of one flow; callers have at most this many in flight.
const FLOW_CAPACITY: usize = 16;

impl WaitingPackets {
    /// Keeps a packet; a retransmission replaces the packet that it repeats.
    pub(super) fn push(&mut self, seg: &Segment, datagram: &[u8]) {
        let packets = self.flows.entry(seg.flow).or_default();
        let packet = WaitingPacket {
            seq: seg.seq,
            datagram: datagram.into(),
        };
        let same = |p: &&mut WaitingPacket| {
            p.seq == packet.seq && p.datagram.len() == packet.datagram.len()
        };
        if let Some(old) = packets.iter_mut().find(same) {
            *old = packet;
        } else if packets.len() < FLOW_CAPACITY && self.packets < CAPACITY {
            packets.push(packet);
            self.packets += 1;
        } else {
            // The caller retransmits it.
            self.dropped += 1;
        }
    }

    /// Removes and returns the packets of a flow in the order of their sequence numbers.
    pub(super) fn take(&mut self, flow: &FlowKey) -> impl Iterator<Item = Box<[u8]>> + use<> {
        let mut packets = self.flows.remove(flow).unwrap_or_default();
        self.packets -= packets.len();
        let first = packets.first().map_or(0, |p| p.seq);
        packets.sort_by_key(|p| p.seq.wrapping_sub(first) as i32);
        packets.into_iter().map(|p| p.datagram)
    }

    /// Drops the packets of a flow.
    pub(super) fn discard(&mut self, flow: &FlowKey) {
        let packets = self.flows.remove(flow).unwrap_or_default();
        self.packets -= packets.len();
    }

    /// Drops the packets of flows for which `is_waiting` returns false.
    pub(super) fn retain(&mut self, is_waiting: impl Fn(&FlowKey) -> bool) {
        if self.packets > 0 {
            self.flows.retain(|flow, _| is_waiting(flow));
            self.packets = self.flows.values().map(Vec::len).sum();
        }
    }

    /// Returns the number of packets that were dropped because the buffer was full.
    pub(super) const fn dropped(&self) -> u64 {
        self.dropped
    }
}
