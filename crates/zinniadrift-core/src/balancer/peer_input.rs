use super::sync::Change;
use super::{
    Balancer, BalancerAction, BaseSet, PeerMessage, RebasePhase, ServiceState, SnapshotFetch,
    SnapshotSource, SyncLossReason, TimelineEvent,
};
use crate::flow::Pin;
use crate::ids::{Incarnation, MemberId};
use crate::membership::{Heartbeat, Peer};
use crate::units::{MonoTime, Version};

impl Balancer {
    /// Handles a message of a peer.
    pub(super) fn on_message(
        &mut self,
        now: MonoTime,
        from: MemberId,
        incarnation: Incarnation,
        msg: PeerMessage,
        out: &mut Vec<BalancerAction>,
    ) {
        if from == self.cfg.member || !self.hear(now, from, incarnation, &msg, out) {
            return;
        }
        match msg {
            PeerMessage::Heartbeat(h) => self.on_heartbeat(now, from, h, out),
            PeerMessage::Publish { number, pins } => self.on_publish(now, from, number, &pins, out),
            PeerMessage::PublishAck { number } => self.publisher.acknowledge(from, number),
            PeerMessage::SettingsNotice { version } => self.on_notice(from, version, out),
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

    /// Notes a sign of life; tells whether the message counts.
    fn hear(
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
            // The peer learns at once that this member receives its messages.
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
        self.on_notice(from, version, out);
        self.compare_bases(now, from, out);
        self.follow_defaulted(now, from, out);
    }

    /// Finds a peer that already uses a base set which this member neither uses nor moves to.
    fn follow_defaulted(&mut self, now: MonoTime, from: MemberId, out: &mut Vec<BalancerAction>) {
        let Some(peer) = self.peers.get(from).filter(|_| self.sync.is_done()) else {
            return;
        };
        let unknown = |s: &ServiceState| {
            let status = peer.rebase_status(s.id);
            let status = status.filter(|r| r.phase == RebasePhase::Defaulted);
            status.is_some_and(|r| {
                let moves = s.rebase.as_ref().is_some_and(|own| own.digest == r.goal);
                r.goal_version > s.base.version && r.goal != s.base_digest && !moves
            })
        };
        if self.services.iter().any(unknown) {
            self.sync.want_from(from, SyncLossReason::BaseDiffers);
            self.sync_changed(now, Change::Lost(SyncLossReason::BaseDiffers), out);
        }
    }

    /// Finds a peer that moved to another base set without this member.
    fn compare_bases(&mut self, now: MonoTime, from: MemberId, out: &mut Vec<BalancerAction>) {
        let (version, bases) = (self.version(), self.bases_digest());
        let at_rest = self.services.iter().all(|s| s.rebase.is_none());
        let differs = |p: &Peer| {
            let comparable = p.settings_version == version && p.rebases.is_empty();
            p.alive && p.synchronised && comparable && p.bases_digest != bases
        };
        if !at_rest || !self.peers.iter().any(differs) {
            self.bases_differ_since = None;
            return;
        }
        if !self.peers.get(from).is_some_and(differs) {
            return;
        }
        let since = *self.bases_differ_since.get_or_insert(now);
        if self.sync.is_done() && now.since(since) >= self.cfg.dead_timeout {
            self.bases_differ_since = None;
            self.sync.want_from(from, SyncLossReason::BaseDiffers);
            self.sync_changed(now, Change::Lost(SyncLossReason::BaseDiffers), out);
        }
    }

    fn on_notice(&mut self, from: MemberId, version: Version, out: &mut Vec<BalancerAction>) {
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
        // A publication with a pin that cannot be stored counts as not received.
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
        self.sources.retain(|s| !s.is_outdated(now));
        let found = self.sources.iter().position(|s| s.answers(from, id));
        let at = found.unwrap_or_else(|| {
            let source = self.snapshot(now, (from, id));
            self.counters.snapshots_sent += 1;
            self.sources.retain(|s| !s.is_for(from));
            self.sources.push(source);
            self.sources.len() - 1
        });
        let mut outbox = Self::outbox(&mut self.counters, out);
        self.sources[at].serve(now, index, &mut outbox);
    }

    fn snapshot(&self, now: MonoTime, request: (MemberId, u32)) -> SnapshotSource {
        let mut pins: Vec<Pin> = self.services.iter().flat_map(|s| s.exceptions()).collect();
        pins.sort_unstable();
        let known = self.services.iter().filter(|s| !s.provisional);
        let bases: Vec<BaseSet> = known.map(|s| s.base_for_snapshot()).collect();
        let marks = self.peers.marks();
        let last = self.publisher.last();
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
            self.adopt(base);
        }
    }

    /// Takes over a base set that is newer than this member's.
    fn adopt(&mut self, base: &BaseSet) {
        let after_absence = self.sync.loss() != SyncLossReason::Gap;
        let Some(s) = self.services.iter_mut().find(|s| s.id == base.service) else {
            self.known_bases.retain(|b| b.service != base.service);
            self.known_bases.push(base.clone());
            return;
        };
        let newer = base.version > s.base.version && after_absence;
        if s.provisional || newer {
            s.adopt(base.clone());
        }
    }
}
