use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::peer_message::has_room;
use super::{
    Balancer, BalancerAction, PeerMessage, Rebase, RebasePhase, RebaseStatus, ServiceState,
    TimelineEvent,
};
use crate::flow::Pin;
use crate::ids::{MemberId, TargetId};
use crate::membership::{MemberState, Peer};
use crate::units::MonoTime;

/// Flow table buckets that one step examines, so that a step takes well under a millisecond.
const BUCKETS_PER_STEP: usize = 4_096;
/// The shortest time between two steps.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(2);
/// The time between two checks of the peers' phases; each heartbeat also triggers a check.
const PHASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Balancer {
    /// Advances the rebases of all services.
    pub(super) fn poll_rebases(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        for index in 0..self.services.len() {
            self.update_goal(now, index, out);
        }
        let ready = self.rebase_bytes.ready_at(now);
        let mut due = now + PHASE_CHECK_INTERVAL;
        for index in 0..self.services.len() {
            let Some(r) = &self.services[index].rebase else {
                continue;
            };
            let scans = r.cursor.is_some() && self.all_reached(index, r.phase);
            if scans && ready <= now {
                self.scan(now, index, out);
                due = due.min(now + MIN_STEP_INTERVAL);
            } else if scans {
                due = due.min(ready.max(now + MIN_STEP_INTERVAL));
            }
            self.try_advance(now, index, out);
        }
        self.rebase_due = due;
    }

    /// Starts a rebase to the active set, or restarts one whose goal no member uses yet.
    fn update_goal(&mut self, now: MonoTime, index: usize, out: &mut Vec<BalancerAction>) {
        let s = &self.services[index];
        let current = match &s.rebase {
            Some(r) => r.goal_digest,
            None => s.base_digest,
        };
        if self.version() < s.base.version {
            return;
        }
        if current == s.active_digest {
            self.rebase_in_place(now, index, out);
            return;
        }
        if s.provisional || !self.cfg.mechanisms.rebase_barrier {
            self.services[index].use_active_as_base();
            return;
        }
        let may_restart = match s.phase() {
            RebasePhase::Settled | RebasePhase::Publishing | RebasePhase::Merging => true,
            RebasePhase::Collected => self.is_goal_abandoned(index),
            RebasePhase::Defaulted => false,
        };
        if may_restart {
            self.services[index].start_rebase();
            self.report_phase(now, index, out);
        }
    }

    /// Publishes flows that the base table does not reproduce, by a rebase that moves no bucket.
    fn rebase_in_place(&mut self, now: MonoTime, index: usize, out: &mut Vec<BalancerAction>) {
        let s = &mut self.services[index];
        if !std::mem::take(&mut s.needs_review) || s.rebase.is_some() || !s.has_unreproduced_flows()
        {
            return;
        }
        s.start_rebase();
        self.report_phase(now, index, out);
    }

    /// Returns whether a live peer has another goal, so that no live member can have defaulted to
    /// this one.
    fn is_goal_abandoned(&self, index: usize) -> bool {
        let s = &self.services[index];
        let goal = s.rebase.as_ref().map(|r| r.goal_digest);
        let defaulted = |p: &Peer| self.peer_status(p, s).is_some_and(|v| Some(v.base) == goal);
        if self.peers.live().any(defaulted) {
            return false;
        }
        self.peers.live().any(|p| {
            let status = self.peer_status(p, s);
            status.is_some_and(|v| {
                let early = v.phase <= RebasePhase::Merging || v.phase == RebasePhase::Settled;
                v.goal == s.active_digest && v.base == s.base_digest && early
            })
        })
    }

    /// Returns a peer's status of a service; without a rebase it follows from equal settings.
    fn peer_status(&self, p: &Peer, s: &ServiceState) -> Option<RebaseStatus> {
        if let Some(status) = p.rebase_status(s.id) {
            return Some(*status);
        }
        let comparable = p.settings_version == self.version() && self.version().get() > 0;
        comparable.then_some(RebaseStatus {
            service: s.id,
            phase: RebasePhase::Settled,
            base: s.active_digest,
            goal: s.active_digest,
            goal_version: s.active.version,
        })
    }

    /// Returns whether all live peers reached `phase` of the move to this member's goal.
    fn all_reached(&self, index: usize, phase: RebasePhase) -> bool {
        let s = &self.services[index];
        let Some(r) = &s.rebase else {
            return true;
        };
        let reached = |p: &Peer| {
            let status = self.peer_status(p, s);
            // A peer that already uses the goal may be moving on to the next set.
            let uses_goal = |v: &RebaseStatus| v.base == r.goal_digest;
            status.is_some_and(|v| uses_goal(&v) || (v.goal == r.goal_digest && v.phase >= phase))
        };
        self.peers.live().all(reached)
    }

    /// Publishes some flows that the new base table does not reproduce, and advances the scan.
    fn scan(&mut self, now: MonoTime, index: usize, out: &mut Vec<BalancerAction>) {
        let time = self.clock.issue(now);
        let members = self.publishers();
        let s = &mut self.services[index];
        let Some(r) = s.rebase.as_mut() else {
            return;
        };
        let own_share = r.phase == RebasePhase::Publishing;
        let mut pins: Vec<Pin> = Vec::new();
        let (id, targets, table) = (s.id, &s.targets, &r.goal_table);
        let start = r.cursor.unwrap_or(0);
        let mut next = start;
        let mut end = false;
        // One bucket per iteration, so that the step ends as soon as its publication is full.
        let mut pin_targets: Vec<TargetId> = Vec::new();
        while has_room(pins.len(), pin_targets.len()) && next < start + BUCKETS_PER_STEP && !end {
            let cursor = s.flows.sweep(next, 1, |hash, e| {
                let unreproduced = !e.is_pinned() && table.owner(hash) != Some(e.target());
                let is_publisher =
                    !own_share || publisher_of(&members, Rebase::bucket(hash)) == Some(0);
                if unreproduced
                    && is_publisher
                    && let Some(target) = targets.get(e.target())
                {
                    e.pin(e.target(), time);
                    if !pin_targets.contains(&target.id) {
                        pin_targets.push(target.id);
                    }
                    pins.push(Pin {
                        service: id,
                        target: target.id,
                        time,
                        caller: e.caller(),
                    });
                }
                false
            });
            end = cursor.is_none();
            next += 1;
        }
        r.cursor = (!end).then_some(next);
        if !pins.is_empty() {
            let number = self.publish_scanned(now, pins, out);
            if let Some(r) = &mut self.services[index].rebase {
                r.last_publication = number;
            }
        }
        if end && !own_share {
            self.services[index].resume_scan();
        }
    }

    fn publish_scanned(
        &mut self,
        now: MonoTime,
        mut pins: Vec<Pin>,
        out: &mut Vec<BalancerAction>,
    ) -> u64 {
        self.counters.rebase_published += pins.len() as u64;
        let receivers = self.peers.live().count();
        // Pins are encoded in groups of equal targets, so sorted pins take the fewest bytes.
        pins.sort_unstable();
        let sample = PeerMessage::Publish {
            number: 0,
            pins: pins.clone(),
        };
        let bytes = (sample.encoded_len() * receivers) as f64;
        self.rebase_bytes.charge(now, bytes);
        let mut outbox = Self::outbox(&mut self.counters, out);
        self.publisher
            .publish(now, pins, false, &self.peers, &mut outbox)
    }

    /// Returns the members among which the buckets are divided, this member first.
    fn publishers(&self) -> Vec<MemberId> {
        let mut members = Vec::new();
        if self.state() == MemberState::Serving {
            members.push(self.cfg.member);
        } else {
            // A member that does not serve has no share; it publishes its flows in `Merging`.
            members.push(MemberId::default());
        }
        members.extend(self.peers.iter().filter(|p| p.is_serving()).map(|p| p.id));
        members
    }

    fn try_advance(&mut self, now: MonoTime, index: usize, out: &mut Vec<BalancerAction>) {
        let s = &self.services[index];
        let Some(r) = &s.rebase else {
            return;
        };
        let published = r.cursor.is_none() && self.publisher.is_complete_to(r.last_publication);
        if !published || !self.sync.is_done() || !self.all_reached(index, r.phase) {
            return;
        }
        let s = &mut self.services[index];
        if let Some(r) = &mut s.rebase {
            r.advance();
        }
        match s.phase() {
            RebasePhase::Defaulted => s.use_goal_as_base(),
            RebasePhase::Settled => s.finish_rebase(),
            _ => {}
        }
        self.report_phase(now, index, out);
    }

    fn report_phase(&mut self, now: MonoTime, index: usize, out: &mut Vec<BalancerAction>) {
        let s = &self.services[index];
        let event = TimelineEvent::Rebase {
            service: s.id,
            phase: s.phase(),
        };
        out.push(BalancerAction::Timeline(event));
        self.heartbeat_due = now;
        self.rebase_due = now;
    }
}

/// Returns the position in `members` of the publisher of a bucket, by rendezvous hashing.
fn publisher_of(members: &[MemberId], bucket: usize) -> Option<usize> {
    let key = (bucket as u64).to_le_bytes();
    let rank = |m: &MemberId| xxh3_64_with_seed(&key, m.get().into());
    (0..members.len()).min_by_key(|&i| Reverse(rank(&members[i])))
}
