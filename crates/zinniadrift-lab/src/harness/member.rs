use std::collections::HashMap;

use zinniadrift_core::balancer::{Balancer, TimelineEvent};
use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::PacketToken;
use zinniadrift_core::units::MonoTime;

use super::scheduled::Arrival;

/// Is one balancer of the group with what its driver would hold.
#[derive(Debug)]
pub struct Member {
    /// The core.
    pub core: Balancer,
    /// Whether the process runs; false after a kill or an exit.
    pub alive: bool,
    /// Whether the process is paused.
    pub paused: bool,
    /// Bytes sent to peers in each second since the origin of the clock.
    pub sent_bytes_per_second: Vec<u64>,
    /// Bytes of messages received from peers.
    pub(super) bytes_received: u64,
    /// The state changes that the core reported.
    pub timeline: Vec<(MonoTime, TimelineEvent)>,
    pub(super) held: HashMap<PacketToken, FlowPacket>,
    /// What arrived during a pause, as a socket buffer keeps it.
    pub(super) backlog: Vec<Arrival>,
}

impl Member {
    pub(super) fn new(core: Balancer) -> Self {
        Self {
            core,
            alive: true,
            paused: false,
            sent_bytes_per_second: Vec::new(),
            bytes_received: 0,
            timeline: Vec::new(),
            held: HashMap::new(),
            backlog: Vec::new(),
        }
    }

    /// Returns all bytes sent to peers.
    pub fn bytes_sent(&self) -> u64 {
        self.sent_bytes_per_second.iter().sum()
    }

    /// Returns all bytes received from peers while the process ran.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received
    }

    pub(super) fn count_bytes(&mut self, now: MonoTime, len: usize) {
        let second = (now.as_micros() / 1_000_000) as usize;
        if self.sent_bytes_per_second.len() <= second {
            self.sent_bytes_per_second.resize(second + 1, 0);
        }
        self.sent_bytes_per_second[second] += len as u64;
    }
}
