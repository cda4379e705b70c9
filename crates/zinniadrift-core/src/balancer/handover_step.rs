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
        let heirs = self.peers.iter().filter(|p| p.is_serving());
        let heirs: Vec<MemberId> = heirs.map(|p| p.id).collect();
        if heirs.is_empty() {
            // A starting peer may begin to serve and accept the flows before the drain deadline.
            if self.peers.live().next().is_some() {
                self.handover.schedule(now, false);
            } else {
                self.handover.give_up();
            }
            return;
        }
        let peers = &self.peers;
        let serves = |id| peers.get(id).is_some_and(Peer::is_serving);
        let mut messages = self.handover.repeat(now, heirs[0], serves);
        let mut finished = false;
        while !finished && self.handover.may_send(now) {
            let pins = self.next_flows();
            finished = pins.is_empty();
            if !finished {
                let to = heirs[messages.len() % heirs.len()];
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
            self.inherit(now, pin);
        }
        let ack = PeerMessage::HandoverAck { number };
        Self::outbox(&mut self.counters, out).send(from, ack);
    }

    fn inherit(&mut self, now: MonoTime, pin: &Pin) {
        let Ok(at) = self.services.binary_search_by_key(&pin.service, |s| s.id) else {
            return;
        };
        let s = &mut self.services[at];
        let hash = s.flows.hash(pin.caller);
        if s.flows.get(hash, &pin.caller).is_some() {
            return;
        }
        let target = s.targets.index_or_add(pin.target);
        // Without a rebase no other member would publish a flow that is not on its base target.
        s.review |= s.base_owner(hash) != Some(target);
        self.remember(at, FlowEntry::new(pin.caller, target, now));
    }

    /// Returns up to [`MAX_PINS`] flows that were not handed over yet, and marks them.
    fn next_flows(&mut self) -> Vec<Pin> {
        let mut pins = Vec::new();
        for s in &mut self.services {
            let (id, targets) = (s.id, &s.targets);
            let needed = |e: &FlowEntry| !e.is_pinned() && !e.is_closing() && !e.is_handed_over();
            let mut at = s.handover_at;
            while pins.len() < MAX_PINS {
                let next = s.flows.sweep(at, 1, |_, e| {
                    if let (true, Some(slot)) = (needed(e), targets.get(e.target())) {
                        e.set_handed_over();
                        pins.push(Pin {
                            service: id,
                            target: slot.id,
                            time: e.pin_time(),
                            caller: e.caller(),
                        });
                    }
                    false
                });
                let more = || s.flows.position(|_, e| needed(e));
                match next.or_else(more) {
                    Some(next) => at = next,
                    None => break,
                }
            }
            s.handover_at = at;
        }
        pins
    }
}
