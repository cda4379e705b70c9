use super::{Balancer, BalancerAction, MAX_PINS, PeerMessage};
use crate::flow::{FlowEntry, Pin};
use crate::ids::MemberId;
use crate::membership::{MemberState, Peer};
use crate::units::MonoTime;

impl Balancer {
    /// Hands over flows to the peers while this member leaves.
    pub(super) fn poll_handover(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        if self.handover_due().is_none_or(|due| due > now) {
            return;
        }
        let receivers = self.peers.iter().filter(|p| p.is_serving());
        let receivers: Vec<MemberId> = receivers.map(|p| p.id).collect();
        if receivers.is_empty() {
            // A starting peer may begin to serve and accept the flows before the drain deadline.
            if self.peers.live().next().is_some() {
                self.handover.schedule(now, false);
            } else {
                self.handover.abort();
            }
            return;
        }
        let peers = &self.peers;
        let serves = |id| peers.get(id).is_some_and(Peer::is_serving);
        let mut messages = self.handover.retransmit(now, receivers[0], serves);
        let mut finished = false;
        while !finished && self.handover.may_send(now) {
            let pins = self.next_handover_pins();
            finished = pins.is_empty();
            if !finished {
                let to = receivers[messages.len() % receivers.len()];
                messages.push((to, self.handover.send(now, to, pins)));
            }
        }
        self.handover.schedule(now, finished);
        let mut outbox = Self::outbox(&mut self.counters, out);
        for (to, msg) in messages {
            outbox.send(to, msg);
        }
    }

    /// Stores the flows of a leaving peer as if this member had received their packets.
    pub(super) fn on_handover(
        &mut self,
        now: MonoTime,
        from: MemberId,
        number: u64,
        pins: &[Pin],
        out: &mut Vec<BalancerAction>,
    ) {
        // Two members that leave at the same time must not hand over flows to each other.
        if self.state() != MemberState::Serving {
            return;
        }
        for pin in pins {
            self.store_handed_over(now, pin);
        }
        let ack = PeerMessage::HandoverAck { number };
        Self::outbox(&mut self.counters, out).send(from, ack);
    }

    fn store_handed_over(&mut self, now: MonoTime, pin: &Pin) {
        let Ok(index) = self.services.binary_search_by_key(&pin.service, |s| s.id) else {
            return;
        };
        let s = &mut self.services[index];
        let hash = s.flows.hash(pin.caller);
        if s.flows.get(hash, &pin.caller).is_some() {
            return;
        }
        let target = s.targets.index_or_add(pin.target);
        // Without a rebase no other member would publish a flow that is not on its base target.
        s.needs_review |= s.base_owner(hash) != Some(target);
        self.store_if_room(index, FlowEntry::new(pin.caller, target, now));
    }

    /// Returns up to [`MAX_PINS`] flows that were not handed over yet, and marks them.
    fn next_handover_pins(&mut self) -> Vec<Pin> {
        let mut pins = Vec::new();
        for s in &mut self.services {
            let (id, targets) = (s.id, &s.targets);
            let needed = |e: &FlowEntry| !e.is_pinned() && !e.is_closing() && !e.is_handed_over();
            let mut cursor = s.handover_cursor;
            while pins.len() < MAX_PINS {
                let next = s.flows.sweep(cursor, 1, |_, e| {
                    if let (true, Some(target)) = (needed(e), targets.get(e.target())) {
                        e.set_handed_over();
                        pins.push(Pin {
                            service: id,
                            target: target.id,
                            time: e.pin_time(),
                            caller: e.caller(),
                        });
                    }
                    false
                });
                let more = || s.flows.position(|_, e| needed(e));
                match next.or_else(more) {
                    Some(next) => cursor = next,
                    None => break,
                }
            }
            s.handover_cursor = cursor;
        }
        pins
    }
}
