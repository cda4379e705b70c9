use std::collections::HashMap;

use bytes::Bytes;

use zinniadrift_core::ids::PacketToken;

/// Keeps the bytes of held packets until the core releases them.
#[derive(Debug)]
pub struct HeldPackets {
    capacity: usize,
    next: u64,
    packets: HashMap<PacketToken, Bytes>,
}

impl HeldPackets {
    /// Returns a buffer of at most `capacity` packets.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next: 0,
            packets: HashMap::new(),
        }
    }

    /// Returns the token for the next packet.
    pub fn next_token(&mut self) -> PacketToken {
        self.next += 1;
        PacketToken::from(self.next)
    }

    /// Keeps a packet; returns whether there was room.
    pub fn keep(&mut self, token: PacketToken, packet: Bytes) -> bool {
        if self.packets.len() >= self.capacity {
            return false;
        }
        self.packets.insert(token, packet);
        true
    }

    /// Removes a packet.
    pub fn take(&mut self, token: PacketToken) -> Option<Bytes> {
        self.packets.remove(&token)
    }

    /// Returns the number of packets kept.
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// Tells whether no packet is kept.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }
}
