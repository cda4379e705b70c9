use super::placement::{Placement, PlacementReason};
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
        self.detect_pause(now, out);
        if let LifeCycleState::Leaving(leaving) = &mut self.life_cycle {
            leaving.touch(now);
            self.handover.resume(now);
        }
        let verdict = self.decide(now, pkt);
        self.count_verdict(verdict);
        verdict
    }

    fn decide(&mut self, now: MonoTime, pkt: &FlowPacket) -> Verdict {
        let Some(&index) = self.service_by_address.get(&pkt.flow.service) else {
            return self.decide_unknown_service(pkt);
        };
        let hash = pkt.flow.hash64();
        let s = &mut self.services[index];
        if let Some(e) = s.flows.get_mut(hash, &pkt.flow.caller)
            && let Some(target) = s.targets.get(e.target())
            && (pkt.kind != PacketKind::Open || target.is_usable())
        {
            e.touch(now);
            match pkt.kind {
                PacketKind::Open => e.set_closing(false),
                PacketKind::Established => {}
                PacketKind::Close | PacketKind::Reset => e.set_closing(true),
            }
            return match (e.is_pending(), target.configured) {
                (true, _) => self.hold(index, pkt),
                (false, true) => Verdict::Forward(target.id),
                (false, false) => Verdict::Drop(DropReason::NoTarget),
            };
        }
        if let Some(peer) = self.relay_peer(hash, pkt) {
            return Verdict::Relay(peer);
        }
        match pkt.kind {
            PacketKind::Open => self.open(now, index, hash, pkt),
            _ => self.forward_by_base(now, index, hash, pkt),
        }
    }

    fn decide_unknown_service(&self, pkt: &FlowPacket) -> Verdict {
        if self.version() > Version::default() {
            return Verdict::Drop(DropReason::UnknownService);
        }
        let peer = self.relay_peer(pkt.flow.hash64(), pkt);
        peer.map_or(Verdict::Drop(DropReason::NoSettings), Verdict::Relay)
    }

    /// Returns the synchronised peer that decides about the packet instead of this member.
    fn relay_peer(&self, hash: u64, pkt: &FlowPacket) -> Option<MemberId> {
        if self.sync.is_done() || pkt.relayed || !self.cfg.mechanisms.relay_when_unsynchronised {
            return None;
        }
        // Without a known synchronised peer, a joining member relays to peers whose heartbeat has
        // not arrived yet, because they are likely synchronised.
        let has_relay = self.peers.iter().any(Peer::accepts_relays);
        let guess_relay = !has_relay && self.sync.is_contacting();
        let eligible =
            |p: &&Peer| p.accepts_relays() || (guess_relay && !p.has_left && !p.contacted);
        let n = self.peers.iter().filter(eligible).count();
        let chosen = hash as usize % n.max(1);
        let mut candidates = self.peers.iter().filter(eligible);
        candidates.nth(chosen).map(|p| p.id)
    }

    fn forward_by_base(
        &mut self,
        now: MonoTime,
        index: usize,
        hash: u64,
        pkt: &FlowPacket,
    ) -> Verdict {
        let s = &mut self.services[index];
        let Some(owner) = s.base_owner(hash) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        let Some(target) = s.targets.get(owner) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        if !target.configured {
            return Verdict::Drop(DropReason::NoTarget);
        }
        let id = target.id;
        if pkt.kind == PacketKind::Established {
            self.store_if_room(index, FlowEntry::new(pkt.flow.caller, owner, now));
        }
        Verdict::Forward(id)
    }

    fn open(&mut self, now: MonoTime, index: usize, hash: u64, pkt: &FlowPacket) -> Verdict {
        let members = 1.0 + self.peers.serving_count() as f64;
        let optional_allowed = self.sync.is_done()
            && self.peers.all_responsive()
            && (!self.services[index].flows.is_full() || self.make_room(index));
        let s = &mut self.services[index];
        let old = s.flows.get(hash, &pkt.flow.caller).copied();
        let (bucket, total) = (&mut self.optional_buckets[index], &mut self.optional_total);
        let may_publish = || optional_allowed && bucket.take(now, 1.0) && total.take(now, 1.0);
        let placement = s.place(now, hash, members, &mut self.rng, may_publish);
        let Some(placement) = placement else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        self.count_placement(placement);
        // Peers that know the flow with its earlier target must learn of the change.
        let moved = old.is_some_and(|e| e.target() != placement.target);
        let entry = FlowEntry::new(pkt.flow.caller, placement.target, now);
        if placement.publish || moved {
            return self.publish_flow(now, index, entry, pkt);
        }
        let Some(target) = self.services[index].targets.get(placement.target) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        let id = target.id;
        match old {
            Some(e) if e.is_pinned() => {
                let mut kept = e;
                kept.touch(now);
                self.store_if_room(index, kept);
            }
            _ => self.store_if_room(index, entry),
        }
        Verdict::Forward(id)
    }

    fn publish_flow(
        &mut self,
        now: MonoTime,
        index: usize,
        mut entry: FlowEntry,
        pkt: &FlowPacket,
    ) -> Verdict {
        let time = self.clock.issue(now);
        entry.pin(entry.target(), time);
        let mechanisms = self.cfg.mechanisms;
        let hold = mechanisms.publish_before_use && mechanisms.wait_for_acks;
        entry.set_pending(hold);
        let Some(pin) = self.services[index].pin_of(&entry) else {
            return Verdict::Drop(DropReason::NoTarget);
        };
        if hold
            && !self
                .held
                .add(pkt.flow, pkt.token, self.hold_capacity(index))
        {
            return Verdict::Drop(DropReason::HoldFull);
        }
        self.store_pinned(index, entry);
        if mechanisms.publish_before_use {
            self.publisher.add(now, pin);
        }
        if hold {
            return Verdict::Hold;
        }
        Verdict::Forward(pin.target)
    }

    fn hold(&mut self, index: usize, pkt: &FlowPacket) -> Verdict {
        if self
            .held
            .add(pkt.flow, pkt.token, self.hold_capacity(index))
        {
            return Verdict::Hold;
        }
        Verdict::Drop(DropReason::HoldFull)
    }

    fn hold_capacity(&self, index: usize) -> usize {
        self.services[index].policies.hold_capacity
    }

    /// Stores the entry of a flow that follows the base table, if the table has room.
    pub(super) fn store_if_room(&mut self, index: usize, entry: FlowEntry) {
        if self.services[index].flows.is_full() && !self.make_room(index) {
            return;
        }
        self.services[index].flows.insert(entry);
    }

    /// Stores a pinned entry; returns whether the table had room.
    pub(super) fn store_pinned(&mut self, index: usize, entry: FlowEntry) -> bool {
        if self.services[index].flows.is_full() && !self.make_room(index) {
            let s = &self.services[index];
            if s.flows.len() >= s.policies.flow_table_capacity * PIN_CAPACITY_FACTOR {
                return false;
            }
        }
        self.services[index].flows.insert(entry);
        true
    }

    /// Stores a pin from a peer unless a later one is known; returns whether either is stored.
    ///
    /// Neither is if the table is full or if this member's settings do not contain the service.
    pub(super) fn store_pin(&mut self, now: MonoTime, pin: &Pin) -> bool {
        self.clock.observe(pin.time);
        let Ok(index) = self.services.binary_search_by_key(&pin.service, |s| s.id) else {
            self.pins_discarded = true;
            return false;
        };
        let s = &mut self.services[index];
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
        self.store_pinned(index, entry)
    }

    fn make_room(&mut self, index: usize) -> bool {
        let evicted = self.services[index].evict();
        if evicted {
            self.counters.evicted += 1;
        } else {
            self.counters.table_full += 1;
        }
        evicted
    }

    /// Releases the held packets of published flows.
    pub(super) fn release_published(&mut self, out: &mut Vec<BalancerAction>) {
        for release in self.publisher.take_releases() {
            for pin in &release.pins {
                self.release_flow(pin, release.confirmed, out);
            }
        }
    }

    fn release_flow(&mut self, pin: &Pin, confirmed: bool, out: &mut Vec<BalancerAction>) {
        let Ok(index) = self.services.binary_search_by_key(&pin.service, |s| s.id) else {
            return;
        };
        let s = &mut self.services[index];
        let hash = s.flows.hash(pin.caller);
        let mut target = Some(pin.target);
        if let Some(e) = s.flows.get_mut(hash, &pin.caller) {
            e.set_pending(false);
            target = s.targets.get(e.target()).map(|t| t.id);
        }
        let verdict = target.map_or(Verdict::Drop(DropReason::NoTarget), Verdict::Forward);
        let flow = s.flow_key(pin.caller);
        for token in self.held.take(&flow) {
            if confirmed {
                self.counters.confirmed += 1;
            } else {
                self.counters.unconfirmed += 1;
            }
            self.count_verdict(verdict);
            out.push(BalancerAction::Release { token, verdict });
        }
    }

    pub(super) fn count_verdict(&mut self, verdict: Verdict) {
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

    fn count_placement(&mut self, placement: Placement) {
        let c = &mut self.counters;
        c.optional_skipped += u64::from(placement.optional_skipped);
        match placement.reason {
            PlacementReason::Base => c.placed_base += 1,
            PlacementReason::Forced => c.placed_forced += 1,
            PlacementReason::Balance => c.placed_balance += 1,
            PlacementReason::ColdStart => c.placed_cold_start += 1,
        }
    }
}
