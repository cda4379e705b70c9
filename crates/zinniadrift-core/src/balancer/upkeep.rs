use std::time::Duration;

use super::sync::Change;
use super::{
    Balancer, BalancerAction, DropReason, PeerMessage, ServiceState, SyncLossReason, TimelineEvent,
    Verdict,
};
use crate::ids::MemberId;
use crate::membership::{Heartbeat, LifeCycleState, MemberState};
use crate::units::MonoTime;

/// Heartbeat intervals between two heartbeats to a peer that counts as dead.
const DEAD_PEER_INTERVALS: u64 = 4;
/// The time after which a heartbeat caused by a change may follow another heartbeat.
const HEARTBEAT_SPACING: Duration = Duration::from_millis(50);
/// Buckets of each flow table examined for idle flows per heartbeat interval.
const SWEEP_BUCKETS: usize = 16_384;

impl Balancer {
    /// Does everything that is due.
    pub(super) fn poll(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        if self.state() == MemberState::Stopped {
            return;
        }
        for peer in self.peers.expire(now, self.cfg.dead_timeout) {
            out.push(BalancerAction::Timeline(TimelineEvent::PeerDead(peer)));
        }
        self.poll_sync(now, out);
        self.poll_publisher(now, out);
        self.poll_rebases(now, out);
        self.poll_handover(now, out);
        self.poll_stage(now, out);
        if self.heartbeat_due <= now {
            self.beat(now, out);
        }
    }

    /// Starts over after the process did not run: peers may have left this member out.
    pub(super) fn on_pause(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        self.counters.pauses += 1;
        if !self.cfg.mechanisms.pause_detection {
            return;
        }
        for peer in self.peers.iter_mut() {
            // Relaying needs a live peer, so the last known state is kept until the next expiry.
            peer.last_heard = now;
            peer.contacted = false;
        }
        self.drop_held(out);
        self.publisher.abandon();
        self.sync
            .restart(now + self.cfg.join_timeout, SyncLossReason::Paused);
        self.sync_changed(now, Change::Lost(SyncLossReason::Paused), out);
    }

    /// Reports a change of the synchronisation.
    pub(super) fn sync_changed(
        &mut self,
        now: MonoTime,
        change: Change,
        out: &mut Vec<BalancerAction>,
    ) {
        let event = match change {
            Change::Gained => TimelineEvent::Synchronised,
            Change::Lost(loss) => TimelineEvent::Unsynchronised(loss),
        };
        out.push(BalancerAction::Timeline(event));
        if change == Change::Gained {
            for s in &mut self.services {
                s.provisional = false;
            }
        }
        self.heartbeat_due = now;
    }

    /// Returns a digest over the base sets of all services.
    pub(super) fn bases_digest(&self) -> u64 {
        let mix = |s: &ServiceState| s.base_digest.rotate_left(s.id.get() % 64);
        self.services.iter().map(mix).fold(0, |a, b| a ^ b)
    }

    /// Returns the time at which a leaving member exits.
    pub(super) fn leave_at(&self) -> Option<MonoTime> {
        let LifeCycleState::Leaving(leaving) = &self.stage else {
            return None;
        };
        let quiet = leaving.quiet_at(self.cfg.drain_quiet);
        // A member with flows that the others do not know yet stays as long as it may.
        let rebasing = self.services.iter().any(|s| s.rebase.is_some());
        let needed = rebasing || self.handover_due().is_some();
        Some(if needed {
            leaving.deadline()
        } else {
            quiet.min(leaving.deadline())
        })
    }

    /// Returns the time at which a leaving member passes on more flows.
    pub(super) fn handover_due(&self) -> Option<MonoTime> {
        let hands_over = self.state() == MemberState::Leaving && self.cfg.mechanisms.handover;
        if hands_over {
            self.handover.due()
        } else {
            None
        }
    }

    fn poll_sync(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        let this = (self.cfg.member, &self.cfg.zone);
        let mut outbox = Self::outbox(&mut self.counters, out);
        let change = self.sync.poll(now, this, &self.peers, &mut outbox);
        if let Some(change) = change {
            self.sync_changed(now, change, out);
        }
    }

    fn poll_publisher(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        let wait = self.cfg.mechanisms.wait_for_acks;
        let mut outbox = Self::outbox(&mut self.counters, out);
        self.publisher.poll(now, wait, &mut self.peers, &mut outbox);
        self.release(out);
    }

    fn poll_stage(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        match self.stage {
            LifeCycleState::Starting(starting) if self.may_serve() => {
                self.stage = LifeCycleState::Serving(starting.serve());
                self.state_changed(now, out);
            }
            LifeCycleState::Leaving(leaving) if self.leave_at().is_some_and(|at| at <= now) => {
                self.stage = LifeCycleState::Stopped(leaving.stop());
                self.say_goodbye(out);
                out.push(BalancerAction::Timeline(TimelineEvent::State(self.state())));
                out.push(BalancerAction::StateChanged(self.state()));
                out.push(BalancerAction::Exit);
            }
            _ => {}
        }
    }

    fn may_serve(&self) -> bool {
        let newest = self.peers.live().map(|p| p.settings_version).max();
        let current = newest.is_none_or(|v| self.version() >= v);
        self.sync.is_done() && self.version().get() > 0 && current
    }

    fn say_goodbye(&mut self, out: &mut Vec<BalancerAction>) {
        let live: Vec<MemberId> = self.peers.live().map(|p| p.id).collect();
        let mut outbox = Self::outbox(&mut self.counters, out);
        for to in live {
            outbox.send(to, PeerMessage::Goodbye);
        }
    }

    fn beat(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        // Changes in quick succession share a heartbeat.
        let earliest = self.last_heartbeat + HEARTBEAT_SPACING;
        if self.heartbeats > 0 && now < earliest {
            self.heartbeat_due = earliest;
            return;
        }
        self.last_heartbeat = now;
        self.heartbeat_due = now + self.cfg.heartbeat_interval;
        self.heartbeats += 1;
        let heartbeat = self.heartbeat();
        let all = self.heartbeats % DEAD_PEER_INTERVALS == 1;
        let receivers = self
            .peers
            .iter()
            .filter(|p| !p.has_left && (p.alive || all));
        let receivers: Vec<MemberId> = receivers.map(|p| p.id).collect();
        let mut outbox = Self::outbox(&mut self.counters, out);
        for to in receivers {
            outbox.send(to, PeerMessage::Heartbeat(heartbeat.clone()));
        }
        self.refresh(now);
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            name: self.cfg.name.clone(),
            zone: self.cfg.zone.clone(),
            address: self.cfg.address,
            state: self.state(),
            synchronised: self.sync.is_done(),
            settings_version: self.version(),
            last_publication: self.publisher.last(),
            bases_digest: self.bases_digest(),
            rebases: self
                .services
                .iter()
                .filter_map(ServiceState::status)
                .collect(),
        }
    }

    /// Removes idle flows, renews pins that would become idle elsewhere, and refreshes the loads.
    fn refresh(&mut self, now: MonoTime) {
        let mut pins = Vec::new();
        let mut end = true;
        for s in &mut self.services {
            let (expired, next) = s.expire(
                now,
                self.sweep_at,
                SWEEP_BUCKETS,
                self.cfg.closed_flow_timeout,
            );
            self.counters.expired += expired;
            end &= next.is_none();
            s.refresh_loads(now);
            s.renew(
                now,
                self.sweep_at,
                SWEEP_BUCKETS,
                &mut self.clock,
                &mut pins,
            );
        }
        self.sweep_at = if end {
            0
        } else {
            self.sweep_at + SWEEP_BUCKETS
        };
        for pin in pins {
            self.publisher.add(now, pin);
        }
    }

    /// Drops the held packets and forgets their flows, which may have been placed elsewhere.
    fn drop_held(&mut self, out: &mut Vec<BalancerAction>) {
        for (flow, tokens) in self.held.take_all() {
            if let Some(&at) = self.by_address.get(&flow.service) {
                let flows = &mut self.services[at].flows;
                flows.remove(flow.hash64(), &flow.caller);
            }
            let verdict = Verdict::Drop(DropReason::Stale);
            for token in tokens {
                self.count(verdict);
                out.push(BalancerAction::Release { token, verdict });
            }
        }
    }
}
