use std::cmp::Ordering;
use std::sync::Arc;

use zinniadrift_core::balancer::PeerMessage;
use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::{Incarnation, MemberId};
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

/// Something that a member receives.
#[derive(Clone, Debug)]
pub(super) enum Arrival {
    Message(MemberId, Incarnation, PeerMessage),
    Packet(FlowPacket),
    Settings(Arc<ServiceCatalog>),
}

/// An arrival on its way to a member, ordered by time and then by sequence number.
#[derive(Clone, Debug)]
pub(super) struct ScheduledArrival {
    pub(super) at: MonoTime,
    pub(super) seq: u64,
    pub(super) to: usize,
    pub(super) arrival: Arrival,
}

impl PartialEq for ScheduledArrival {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledArrival {}

impl PartialOrd for ScheduledArrival {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledArrival {
    /// Compares in reverse, because `BinaryHeap` returns the largest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}
