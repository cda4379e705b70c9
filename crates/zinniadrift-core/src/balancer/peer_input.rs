use super::sync_state::SyncChange;
use super::{
    Balancer, BalancerAction, BaseSet, PeerMessage, RebasePhase, ServiceState, SnapshotFetch,
    SnapshotSource, SyncLossReason, TimelineEvent,
};
use crate::flow::Pin;
use crate::ids::{Incarnation, MemberId};
use crate::membership::{Heartbeat, Peer};
use crate::units::{MonoTime, Version};

impl Balancer {
    /// Processes a message of a peer.
    pub(super) fn on_message(
        &mut self,
        now: MonoTime,
        from: MemberId,
        incarnation: Incarnation,
        msg: PeerMessage,
        out: &mut Vec<BalancerAction>,
    ) {
        if from == self.cfg.member || !self.record_contact(now, from, incarnation, &msg, out) {
            return;
        }
        match msg {
            PeerMessage::Heartbeat(h) => self.on_heartbeat(now, from, h, out),
            PeerMessage::Publish { number, pins } => self.on_publish(now, from, number, &pins, out),
            PeerMessage::PublishAck { number } => self.publisher.acknowledge(from, number),
            PeerMessage::SettingsNotice { version } => self.on_settings_version(from, version, out),
            PeerMessage::SnapshotRequest { id, index } => {
                self.on_snapshot_request(now, (from, id), index, out);
            }
            part @ PeerMessage::SnapshotPart { .. } => self.on_snapshot_part(now, from, part, out),
            PeerMessage::Handover { number, pins } => {
                self.on_handover(now, from, number, &pins, out);
            }
            PeerMessage::HandoverAck { number } => self.handover.acknowledge(now, from, number),
            PeerMessage::Goodbye => self.on_goodbye(from, out),
        }
    }

    /// Updates the liveness of the sender; returns whether the message is to be processed.
    fn record_contact(
        &mut self,
        now: MonoTime,
        from: MemberId,
        incarnation: Incarnation,
        msg: &PeerMessage,
        out: &mut Vec<BalancerAction>,
    ) -> bool {
        if let PeerMessage::Heartbeat(h) = msg {
            self.peers.add(Peer::new(from, h.zone.clone(), h.address));
        }
        let Some(peer) = self.peers.get_mut(from) else {
            return false;
        };
        if peer.incarnation.is_some_and(|known| incarnation < known) {
            self.counters.stale_incarnation += 1;
            return false;
        }
        if peer.incarnation != Some(incarnation) {
            peer.reset(incarnation);
        }
        if peer.has_left {
            return false;
        }
        peer.last_heard = now;
        peer.unresponsive = false;
        if !peer.alive {
            peer.alive = true;
            // An immediate heartbeat shows the peer that this member receives its messages.
            self.heartbeat_due = now;
            out.push(BalancerAction::Timeline(TimelineEvent::PeerAlive(from)));
        }
        true
    }

    fn on_heartbeat(
        &mut self,
        now: MonoTime,
        from: MemberId,
        h: Heartbeat,
        out: &mut Vec<BalancerAction>,
    ) {
        let version = h.settings_version;
        if let Some(peer) = self.peers.get_mut(from) {
            peer.apply_heartbeat(now, h);
        }
        self.on_settings_version(from, version, out);
        self.compare_bases(now, from, out);
        self.check_defaulted_bases(now, from, out);
    }

    /// Fetches a snapshot from a peer that uses a newer base set which this member neither uses nor
    /// moves to.
    fn check_defaulted_bases(
        &mut self,
        now: MonoTime,
        from: MemberId,
        out: &mut Vec<BalancerAction>,
    ) {
        let Some(peer) = self.peers.get(from).filter(|_| self.sync.is_done()) else {
            return;
        };
        let unknown = |s: &ServiceState| {
            let status = peer.rebase_status(s.id);
            let status = status.filter(|r| r.phase == RebasePhase::Defaulted);
            status.is_some_and(|r| {
                let moves = s
                    .rebase
                    .as_ref()
                    .is_some_and(|own| own.goal_digest == r.goal);
                r.goal_version > s.base.version && r.goal != s.base_digest && !moves
            })
        };
        if self.services.iter().any(unknown) {
            self.sync
                .require_snapshot_from(from, SyncLossReason::BaseDiffers);
            self.report_sync_change(now, SyncChange::Lost(SyncLossReason::BaseDiffers), out);
        }
    }

    /// Fetches a snapshot from a peer whose base sets have differed from this member's for the dead
    /// timeout, although neither has a rebase and both have the same settings.
    fn compare_bases(&mut self, now: MonoTime, from: MemberId, out: &mut Vec<BalancerAction>) {
        let (version, bases) = (self.version(), self.bases_digest());
        let no_rebase = self.services.iter().all(|s| s.rebase.is_none());
        let differs = |p: &Peer| {
            let comparable = p.settings_version == version && p.rebases.is_empty();
            p.alive && p.synchronised && comparable && p.bases_digest != bases
        };
        if !no_rebase || !self.peers.iter().any(differs) {
            self.bases_differ_since = None;
            return;
        }
        if !self.peers.get(from).is_some_and(differs) {
            return;
        }
        let since = *self.bases_differ_since.get_or_insert(now);
        if self.sync.is_done() && now.since(since) >= self.cfg.dead_timeout {
            self.bases_differ_since = None;
            self.sync
                .require_snapshot_from(from, SyncLossReason::BaseDiffers);
            self.report_sync_change(now, SyncChange::Lost(SyncLossReason::BaseDiffers), out);
        }
    }

    fn on_settings_version(
        &mut self,
        from: MemberId,
        version: Version,
        out: &mut Vec<BalancerAction>,
    ) {
        if version > self.version() {
            out.push(BalancerAction::PullSettings { from });
        }
    }

    fn on_publish(
        &mut self,
        now: MonoTime,
        from: MemberId,
        number: u64,
        pins: &[Pin],
        out: &mut Vec<BalancerAction>,
    ) {
        let mut stored = true;
        for pin in pins {
            stored &= self.store_pin(now, pin);
        }
        // A publication with a pin that cannot be stored is not acknowledged.
        if !stored {
            return;
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.record_publication(now, number);
        }
        let ack = PeerMessage::PublishAck { number };
        Self::outbox(&mut self.counters, out).send(from, ack);
    }

    fn on_goodbye(&mut self, from: MemberId, out: &mut Vec<BalancerAction>) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.alive = false;
            peer.has_left = true;
            out.push(BalancerAction::Timeline(TimelineEvent::PeerDead(from)));
        }
    }

    fn on_snapshot_request(
        &mut self,
        now: MonoTime,
        (from, id): (MemberId, u32),
        index: u32,
        out: &mut Vec<BalancerAction>,
    ) {
        self.snapshot_sources.retain(|s| !s.is_expired(now));
        let found = self
            .snapshot_sources
            .iter()
            .position(|s| s.is_for_request(from, id));
        let source = found.unwrap_or_else(|| {
            let new = self.take_snapshot(now, (from, id));
            self.counters.snapshots_sent += 1;
            self.snapshot_sources.retain(|s| !s.is_for_peer(from));
            self.snapshot_sources.push(new);
            self.snapshot_sources.len() - 1
        });
        let mut outbox = Self::outbox(&mut self.counters, out);
        self.snapshot_sources[source].send_window(now, index, &mut outbox);
    }

    fn take_snapshot(&self, now: MonoTime, request: (MemberId, u32)) -> SnapshotSource {
        let mut pins: Vec<Pin> = self.services.iter().flat_map(|s| s.exceptions()).collect();
        pins.sort_unstable();
        let known = self.services.iter().filter(|s| !s.provisional);
        let bases: Vec<BaseSet> = known.map(|s| s.base_for_snapshot()).collect();
        let marks = self.peers.marks();
        let last = self.publisher.last_number();
        SnapshotSource::new(now, request, last, &marks, &bases, &pins)
    }

    fn on_snapshot_part(
        &mut self,
        now: MonoTime,
        from: MemberId,
        mut part: PeerMessage,
        out: &mut Vec<BalancerAction>,
    ) {
        let mut outbox = Self::outbox(&mut self.counters, out);
        let (new, done) = self.sync.accept(now, from, &mut part, &mut outbox);
        if let (true, PeerMessage::SnapshotPart { pins, .. }) = (new, &part) {
            for pin in pins {
                self.store_pin(now, pin);
            }
        }
        if let Some(fetch) = done {
            self.apply_snapshot(now, &fetch);
        }
    }

    fn apply_snapshot(&mut self, now: MonoTime, fetch: &SnapshotFetch) {
        if let Some(peer) = self.peers.get_mut(fetch.peer) {
            peer.record_snapshot(now, fetch.publication);
        }
        for mark in &fetch.marks {
            let peer = self.peers.get_mut(mark.member);
            if let Some(peer) = peer.filter(|p| p.incarnation == Some(mark.incarnation)) {
                peer.record_snapshot(now, mark.number);
            }
        }
        for base in &fetch.bases {
            self.adopt_base(base);
        }
    }

    /// Adopts a base set from a snapshot if this member's is provisional, or older and not only
    /// publications were missing.
    fn adopt_base(&mut self, base: &BaseSet) {
        let may_lack_bases = self.sync.loss() != SyncLossReason::Gap;
        let Some(s) = self.services.iter_mut().find(|s| s.id == base.service) else {
            self.pending_bases.retain(|b| b.service != base.service);
            self.pending_bases.push(base.clone());
            return;
        };
        let newer = base.version > s.base.version && may_lack_bases;
        if s.provisional || newer {
            s.adopt_base(base.clone());
        }
    }
}
