use super::{BalancerAction, Counters, PeerMessage};
use crate::ids::MemberId;

/// A sender of peer messages that appends them to the actions and counts their bytes.
#[derive(Debug)]
pub(super) struct Outbox<'a> {
    pub(super) out: &'a mut Vec<BalancerAction>,
    pub(super) counters: &'a mut Counters,
}

impl Outbox<'_> {
    /// Sends a message to a peer.
    pub(super) fn send(&mut self, to: MemberId, msg: PeerMessage) {
        self.counters.peer_messages_sent += 1;
        self.counters.peer_bytes_sent += msg.encoded_len() as u64;
        self.out.push(BalancerAction::Send { to, msg });
    }
}
