use super::placed::{Cause, Placed};
use super::{Balancer, BalancerAction, DropReason, Verdict};
use crate::flow::{FlowEntry, FlowPacket, PacketKind, Pin};
use crate::ids::MemberId;
use crate::membership::{LifeCycleState, Peer};
use crate::units::{MonoTime, Version};

/// The factor by which pinned flows may exceed the capacity of the flow table. Without its pin such
/// a flow would reach the wrong target, while other flows still follow the base table.
const PIN_CAPACITY_FACTOR: usize = 2;

impl Balancer {
    /// Decides what the driver does with one packet.
    pub fn on_packet(
        &mut self,
        now: MonoTime,
        pkt: &FlowPacket,
        out: &mut Vec<BalancerAction>,
    ) -> Verdict {
        self.note_running(now, out);
        if let LifeCycleState::Leaving(leaving) = &mut self.stage {
            leaving.touch(now);
            self.handover.reopen(now);
        }
        let verdict = self.decide(now, pkt);
        self.count(verdict);
        verdict
    }

    fn decide(&mut self, now: MonoTime, pkt: &FlowPacket) -> Verdict {
        let Some(&at) = self.by_address.get(&pkt.flow.service) else {
            return self.without_service(pkt);
        };
        let hash = pkt.flow.hash64();
        let s = &mut self.services[at];
        if let Some(e) = s.flows.get_mut(hash, &pkt.flow.caller)
            && let Some(slot) = s.targets.get(e.target())
            && (pkt.kind != PacketKind::Open || slot.is_usable())
        {
            e.touch(now);
            match pkt.kind {
                PacketKind::Open => e.set_closing(false),
                PacketKind::Established => {}
                PacketKind::Close | PacketKind::Reset => e.set_closing(true),
            }
            return match (e.is_pending(), slot.configured) {
                (true, _) => self.hold(at, pkt),
                (false, true) => Verdict::Forward(slot.id),
                (false, false) => Verdict::Drop(DropReason::NoTarget),
            };
        }
        if let Some(peer) = self.relay_for(hash, pkt) {
            return Verdict::Relay(peer);
        }
        match pkt.kind {
            PacketKind::Open => self.open(now, at, hash, pkt),
            _ => self.follow_base(now, at, hash, pkt),
        }
    }

    fn without_service(&self, pkt: &FlowPacket) -> Verdict {
        if self.version() > Version::default() {
            return Verdict::Drop(DropReason::UnknownService);
        }
        let peer = self.relay_for(pkt.flow.hash64(), pkt);
        peer.map_or(Verdict::Drop(DropReason::NoSettings), Verdict::Relay)
    }

    /// Returns the synchronised peer that decides about the packet instead of this member.
    fn relay_for(&self, hash: u64, pkt: &FlowPacket) -> Option<MemberId> {
        if self.sync.is_done() || pkt.relayed || !self.cfg.mechanisms.relay_when_unsynchronised {
            return None;
        }
        // Without a known synchronised peer, a joining member relays to peers whose heartbeat has
        // not arrived yet, because they are likely synchronised.
        let heard = self.peers.iter().any(Peer::accepts_relays);
        let blind = !heard && self.sync.is_contacting();
        let takes = |p: &&Peer| p.accepts_relays() || (blind && !p.has_left && !p.contacted);
        let n = self.peers.iter().filter(takes).count();
        let chosen = hash as usize % n.max(1);
        let mut takers = self.peers.iter().filter(takes);
        takers.nth(chosen).map(|p| p.id)
    }

    fn follow_base(&mut self, now: MonoTime, at: usize, hash: u64, pkt: &FlowPacket) -> Verdict {
        let s = &mut self.services[at];
        let Some(target) = s.base_owner(hash) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        let Some(slot) = s.targets.get(target) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        if !slot.configured {
            return Verdict::Drop(DropReason::NoTarget);
        }
        let id = slot.id;
        if pkt.kind == PacketKind::Established {
            self.remember(at, FlowEntry::new(pkt.flow.caller, target, now));
        }
        Verdict::Forward(id)
    }

    fn open(&mut self, now: MonoTime, at: usize, hash: u64, pkt: &FlowPacket) -> Verdict {
        let members = 1.0 + self.peers.serving_count() as f64;
        let optional_allowed = self.sync.is_done()
            && self.peers.all_responsive()
            && (!self.services[at].flows.is_full() || self.make_room(at));
        let s = &mut self.services[at];
        let old = s.flows.get(hash, &pkt.flow.caller).copied();
        let (bucket, total) = (&mut self.optional[at], &mut self.optional_total);
        let may_publish = || optional_allowed && bucket.take(now, 1.0) && total.take(now, 1.0);
        let placed = s.place(now, hash, members, &mut self.rng, may_publish);
        let Some(placed) = placed else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        self.count_placed(placed);
        // Peers that know the flow with its earlier target must learn of the change.
        let moved = old.is_some_and(|e| e.target() != placed.target);
        let entry = FlowEntry::new(pkt.flow.caller, placed.target, now);
        if placed.publish || moved {
            return self.publish_flow(now, at, entry, pkt);
        }
        let Some(slot) = self.services[at].targets.get(placed.target) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        let id = slot.id;
        match old {
            Some(e) if e.is_pinned() => {
                let mut kept = e;
                kept.touch(now);
                self.remember(at, kept);
            }
            _ => self.remember(at, entry),
        }
        Verdict::Forward(id)
    }

    fn publish_flow(
        &mut self,
        now: MonoTime,
        at: usize,
        mut entry: FlowEntry,
        pkt: &FlowPacket,
    ) -> Verdict {
        let time = self.clock.issue(now);
        entry.pin(entry.target(), time);
        let mechanisms = self.cfg.mechanisms;
        let hold = mechanisms.publish_before_use && mechanisms.wait_for_acks;
        entry.set_pending(hold);
        let Some(pin) = self.services[at].pin_of(&entry) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        if hold && !self.held.add(pkt.flow, pkt.token, self.hold_capacity(at)) {
            return Verdict::Drop(DropReason::HoldFull);
        }
        self.store(at, entry);
        if mechanisms.publish_before_use {
            self.publisher.add(now, pin);
        }
        if hold {
            return Verdict::Hold;
        }
        Verdict::Forward(pin.target)
    }

    fn hold(&mut self, at: usize, pkt: &FlowPacket) -> Verdict {
        if self.held.add(pkt.flow, pkt.token, self.hold_capacity(at)) {
            return Verdict::Hold;
        }
        Verdict::Drop(DropReason::HoldFull)
    }

    fn hold_capacity(&self, at: usize) -> usize {
        self.services[at].policies.hold_capacity
    }

    /// Stores the entry of a flow that follows the base table, if the table has room.
    pub(super) fn remember(&mut self, at: usize, entry: FlowEntry) {
        if self.services[at].flows.is_full() && !self.make_room(at) {
            return;
        }
        self.services[at].flows.insert(entry);
    }

    /// Stores a pinned entry; returns whether the table had room.
    pub(super) fn store(&mut self, at: usize, entry: FlowEntry) -> bool {
        if self.services[at].flows.is_full() && !self.make_room(at) {
            let s = &self.services[at];
            if s.flows.len() >= s.policies.flow_table_capacity * PIN_CAPACITY_FACTOR {
                return false;
            }
        }
        self.services[at].flows.insert(entry);
        true
    }

    /// Stores a pin from a peer unless a later one is known; returns whether either is stored.
    ///
    /// Neither is if the table is full or if this member's settings do not contain the service.
    pub(super) fn store_pin(&mut self, now: MonoTime, pin: &Pin) -> bool {
        self.clock.observe(pin.time);
        let Ok(at) = self.services.binary_search_by_key(&pin.service, |s| s.id) else {
            self.lacks_pins = true;
            return false;
        };
        let s = &mut self.services[at];
        let hash = s.flows.hash(pin.caller);
        let old = s.flows.get(hash, &pin.caller).copied();
        if old.is_some_and(|e| e.pin_time() > pin.time) {
            return true;
        }
        let target = s.targets.index_or_add(pin.target);
        let mut entry = FlowEntry::new(pin.caller, target, now);
        entry.pin(target, pin.time);
        if let Some(old) = old {
            entry.set_pending(old.is_pending());
            entry.set_closing(old.is_closing() && old.target() == target);
        }
        self.store(at, entry)
    }

    fn make_room(&mut self, at: usize) -> bool {
        let evicted = self.services[at].evict();
        if evicted {
            self.counters.evicted += 1;
        } else {
            self.counters.table_full += 1;
        }
        evicted
    }

    /// Releases the held packets of published flows.
    pub(super) fn release(&mut self, out: &mut Vec<BalancerAction>) {
        for release in self.publisher.take_released() {
            for pin in &release.pins {
                self.release_flow(pin, release.confirmed, out);
            }
        }
    }

    fn release_flow(&mut self, pin: &Pin, confirmed: bool, out: &mut Vec<BalancerAction>) {
        let Ok(at) = self.services.binary_search_by_key(&pin.service, |s| s.id) else {
            return;
        };
        let s = &mut self.services[at];
        let hash = s.flows.hash(pin.caller);
        let mut target = Some(pin.target);
        if let Some(e) = s.flows.get_mut(hash, &pin.caller) {
            e.set_pending(false);
            target = s.targets.get(e.target()).map(|slot| slot.id);
        }
        let verdict = target.map_or(Verdict::Drop(DropReason::NoTarget), Verdict::Forward);
        let flow = s.flow_key(pin.caller);
        for token in self.held.take(&flow) {
            if confirmed {
                self.counters.confirmed += 1;
            } else {
                self.counters.unconfirmed += 1;
            }
            self.count(verdict);
            out.push(BalancerAction::Release { token, verdict });
        }
    }

    pub(super) fn count(&mut self, verdict: Verdict) {
        let c = &mut self.counters;
        match verdict {
            Verdict::Forward(_) => c.forwarded += 1,
            Verdict::Relay(_) => c.relayed += 1,
            Verdict::Hold => c.held += 1,
            Verdict::Drop(DropReason::UnknownService) => c.dropped_unknown_service += 1,
            Verdict::Drop(DropReason::NoTarget) => c.dropped_no_target += 1,
            Verdict::Drop(DropReason::NoSettings) => c.dropped_no_settings += 1,
            Verdict::Drop(DropReason::HoldFull) => c.dropped_hold_full += 1,
            Verdict::Drop(DropReason::Stale) => c.dropped_stale += 1,
        }
    }

    fn count_placed(&mut self, placed: Placed) {
        let c = &mut self.counters;
        c.optional_skipped += u64::from(placed.skipped);
        match placed.cause {
            Cause::Base => c.placed_base += 1,
            Cause::Forced => c.placed_forced += 1,
            Cause::Balance => c.placed_balance += 1,
            Cause::ColdStart => c.placed_cold_start += 1,
        }
    }
}
