use std::collections::HashMap;

use bytes::Bytes;

use zinniadrift_core::ids::PacketToken;

/// A bounded buffer of the packets that are held until the core releases them.
#[derive(Debug)]
pub struct HeldPackets {
    capacity: usize,
    last_token: u64,
    packets: HashMap<PacketToken, Bytes>,
}

impl HeldPackets {
    /// Returns an empty buffer for at most `capacity` packets.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_token: 0,
            packets: HashMap::new(),
        }
    }

    /// Returns a new token for a packet.
    pub fn next_token(&mut self) -> PacketToken {
        self.last_token += 1;
        PacketToken::from(self.last_token)
    }

    /// Stores a packet; returns `false` if the buffer is full.
    pub fn insert(&mut self, token: PacketToken, packet: Bytes) -> bool {
        if self.packets.len() >= self.capacity {
            return false;
        }
        self.packets.insert(token, packet);
        true
    }

    /// Removes and returns a packet.
    pub fn remove(&mut self, token: PacketToken) -> Option<Bytes> {
        self.packets.remove(&token)
    }

    /// Returns the number of held packets.
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// Returns whether no packet is held.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }
}
