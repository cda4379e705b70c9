use std::time::Duration;

use super::sync_state::SyncChange;
use super::{
    Balancer, BalancerAction, DropReason, PeerMessage, ServiceState, SyncLossReason, TimelineEvent,
    Verdict,
};
use crate::ids::MemberId;
use crate::membership::{Heartbeat, LifeCycleState, MemberState};
use crate::units::MonoTime;

/// Heartbeat intervals between two heartbeats to a peer that counts as dead.
const DEAD_PEER_INTERVALS: u64 = 4;
/// The shortest time between two heartbeats, also if a change triggers the second one.
const HEARTBEAT_SPACING: Duration = Duration::from_millis(50);
/// Buckets of each flow table that are examined for idle flows per heartbeat.
const SWEEP_BUCKETS: usize = 16_384;

impl Balancer {
    /// Processes all timers that are due.
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
            self.send_heartbeats(now, out);
        }
    }

    /// Restarts the synchronisation after a pause, during which peers may have published without
    /// this member.
    pub(super) fn on_pause(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        self.counters.pauses += 1;
        if !self.cfg.mechanisms.pause_detection {
            return;
        }
        for peer in self.peers.iter_mut() {
            // Relaying needs a live peer, so peers keep their state for another dead timeout.
            peer.last_heard = now;
            peer.contacted = false;
        }
        self.drop_held(out);
        self.publisher.discard_outstanding();
        self.sync
            .restart(now + self.cfg.join_timeout, SyncLossReason::Paused);
        self.report_sync_change(now, SyncChange::Lost(SyncLossReason::Paused), out);
    }

    /// Reports a gain or loss of the synchronisation.
    pub(super) fn report_sync_change(
        &mut self,
        now: MonoTime,
        change: SyncChange,
        out: &mut Vec<BalancerAction>,
    ) {
        let event = match change {
            SyncChange::Gained => TimelineEvent::Synchronised,
            SyncChange::Lost(loss) => TimelineEvent::Unsynchronised(loss),
        };
        out.push(BalancerAction::Timeline(event));
        if change == SyncChange::Gained {
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
        let LifeCycleState::Leaving(leaving) = &self.life_cycle else {
            return None;
        };
        let idle_at = leaving.idle_at(self.cfg.drain_quiet);
        // A member with flows that its peers do not know yet stays until the drain deadline.
        let rebasing = self.services.iter().any(|s| s.rebase.is_some());
        let must_stay = rebasing || self.handover_due().is_some();
        Some(if must_stay {
            leaving.deadline()
        } else {
            idle_at.min(leaving.deadline())
        })
    }

    /// Returns the time at which a leaving member hands over more flows.
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
            self.report_sync_change(now, change, out);
        }
    }

    fn poll_publisher(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        let blocking = self.cfg.mechanisms.wait_for_acks;
        let mut outbox = Self::outbox(&mut self.counters, out);
        self.publisher
            .poll(now, blocking, &mut self.peers, &mut outbox);
        self.release_published(out);
    }

    fn poll_stage(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        match self.life_cycle {
            LifeCycleState::Starting(starting) if self.may_serve() => {
                self.life_cycle = LifeCycleState::Serving(starting.serve());
                self.report_state(now, out);
            }
            LifeCycleState::Leaving(leaving) if self.leave_at().is_some_and(|at| at <= now) => {
                self.life_cycle = LifeCycleState::Stopped(leaving.stop());
                self.send_goodbyes(out);
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

    fn send_goodbyes(&mut self, out: &mut Vec<BalancerAction>) {
        let live: Vec<MemberId> = self.peers.live().map(|p| p.id).collect();
        let mut outbox = Self::outbox(&mut self.counters, out);
        for to in live {
            outbox.send(to, PeerMessage::Goodbye);
        }
    }

    fn send_heartbeats(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
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
            last_publication: self.publisher.last_number(),
            bases_digest: self.bases_digest(),
            rebases: self
                .services
                .iter()
                .filter_map(ServiceState::status)
                .collect(),
        }
    }

    /// Removes idle flows, renews pins that would expire on peers, and refreshes the loads.
    fn refresh(&mut self, now: MonoTime) {
        let mut pins = Vec::new();
        let mut end = true;
        for s in &mut self.services {
            let (expired, next) = s.expire(
                now,
                self.sweep_cursor,
                SWEEP_BUCKETS,
                self.cfg.closed_flow_timeout,
            );
            self.counters.expired += expired;
            end &= next.is_none();
            s.refresh_loads(now);
            s.renew_pins(
                now,
                self.sweep_cursor,
                SWEEP_BUCKETS,
                &mut self.clock,
                &mut pins,
            );
        }
        self.sweep_cursor = if end {
            0
        } else {
            self.sweep_cursor + SWEEP_BUCKETS
        };
        for pin in pins {
            self.publisher.add(now, pin);
        }
    }

    /// Drops the held packets and removes their flows, which peers may have placed elsewhere.
    fn drop_held(&mut self, out: &mut Vec<BalancerAction>) {
        for (flow, tokens) in self.held.take_all() {
            if let Some(&index) = self.service_by_address.get(&flow.service) {
                let flows = &mut self.services[index].flows;
                flows.remove(flow.hash64(), &flow.caller);
            }
            let verdict = Verdict::Drop(DropReason::Stale);
            for token in tokens {
                self.count_verdict(verdict);
                out.push(BalancerAction::Release { token, verdict });
            }
        }
    }
}
