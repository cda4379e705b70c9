use std::collections::HashMap;

use zinniadrift_core::balancer::{Balancer, TimelineEvent};
use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::PacketToken;
use zinniadrift_core::units::MonoTime;

use super::scheduled_arrival::Arrival;

/// A balancer of the group, with the state that its runtime would hold.
#[derive(Debug)]
pub struct Member {
    /// The core of the balancer.
    pub core: Balancer,
    /// Whether the process exists; false after a kill or an exit.
    pub alive: bool,
    /// Whether the process is paused.
    pub paused: bool,
    /// The bytes sent to peers in each second since the origin of the virtual clock.
    pub sent_bytes_per_second: Vec<u64>,
    /// The bytes of messages received from peers.
    pub(super) bytes_received: u64,
    /// The time line events that the core reported, with their virtual times.
    pub timeline: Vec<(MonoTime, TimelineEvent)>,
    /// The packets that the core holds, by token.
    pub(super) held: HashMap<PacketToken, FlowPacket>,
    /// The contents of the socket buffer: arrivals during a pause.
    pub(super) socket_buffer: Vec<Arrival>,
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
            socket_buffer: Vec::new(),
        }
    }

    /// Returns the total bytes sent to peers.
    pub fn bytes_sent(&self) -> u64 {
        self.sent_bytes_per_second.iter().sum()
    }

    /// Returns the total bytes received from peers while the process was running.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received
    }

    /// Adds the length of a sent message to the current second.
    pub(super) fn record_sent_bytes(&mut self, now: MonoTime, len: usize) {
        let second = (now.as_micros() / 1_000_000) as usize;
        if self.sent_bytes_per_second.len() <= second {
            self.sent_bytes_per_second.resize(second + 1, 0);
        }
        self.sent_bytes_per_second[second] += len as u64;
    }
}
