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
const STEP_BUCKETS: usize = 4_096;
/// The shortest time between two steps.
const STEP: Duration = Duration::from_millis(2);
/// The time between two checks of the peers' phases; each heartbeat also triggers a check.
const WAIT: Duration = Duration::from_millis(200);

impl Balancer {
    /// Advances the rebases of all services.
    pub(super) fn poll_rebases(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        for at in 0..self.services.len() {
            self.retarget(now, at, out);
        }
        let ready = self.rebase_bytes.ready_at(now);
        let mut due = now + WAIT;
        for at in 0..self.services.len() {
            let Some(r) = &self.services[at].rebase else {
                continue;
            };
            let scans = r.cursor.is_some() && self.all_reached(at, r.phase);
            if scans && ready <= now {
                self.step(now, at, out);
                due = due.min(now + STEP);
            } else if scans {
                due = due.min(ready.max(now + STEP));
            }
            self.try_advance(now, at, out);
        }
        self.rebase_due = due;
    }

    /// Starts a rebase to the active set, or restarts one whose goal no member uses yet.
    fn retarget(&mut self, now: MonoTime, at: usize, out: &mut Vec<BalancerAction>) {
        let s = &self.services[at];
        let current = match &s.rebase {
            Some(r) => r.digest,
            None => s.base_digest,
        };
        if self.version() < s.base.version {
            return;
        }
        if current == s.active_digest {
            self.review(now, at, out);
            return;
        }
        if s.provisional || !self.cfg.mechanisms.rebase_barrier {
            self.services[at].use_active_as_base();
            return;
        }
        let may_restart = match s.phase() {
            RebasePhase::Settled | RebasePhase::Publishing | RebasePhase::Merging => true,
            RebasePhase::Collected => self.is_abandoned(at),
            RebasePhase::Defaulted => false,
        };
        if may_restart {
            self.services[at].start_rebase();
            self.phase_changed(now, at, out);
        }
    }

    /// Publishes flows that the base table does not reproduce, by a rebase that moves no bucket.
    fn review(&mut self, now: MonoTime, at: usize, out: &mut Vec<BalancerAction>) {
        let s = &mut self.services[at];
        if !std::mem::take(&mut s.review) || s.rebase.is_some() || !s.has_leftovers() {
            return;
        }
        s.start_rebase();
        self.phase_changed(now, at, out);
    }

    /// Returns whether a live peer has another goal, so that no live member can have defaulted to
    /// this one.
    fn is_abandoned(&self, at: usize) -> bool {
        let s = &self.services[at];
        let goal = s.rebase.as_ref().map(|r| r.digest);
        let defaulted = |p: &Peer| self.view(p, s).is_some_and(|v| Some(v.base) == goal);
        if self.peers.live().any(defaulted) {
            return false;
        }
        self.peers.live().any(|p| {
            let view = self.view(p, s);
            view.is_some_and(|v| {
                let early = v.phase <= RebasePhase::Merging || v.phase == RebasePhase::Settled;
                v.goal == s.active_digest && v.base == s.base_digest && early
            })
        })
    }

    /// Returns a peer's status of a service; without a rebase it follows from equal settings.
    fn view(&self, p: &Peer, s: &ServiceState) -> Option<RebaseStatus> {
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
    fn all_reached(&self, at: usize, phase: RebasePhase) -> bool {
        let s = &self.services[at];
        let Some(r) = &s.rebase else {
            return true;
        };
        let reached = |p: &Peer| {
            let view = self.view(p, s);
            // A peer that already uses the goal may be moving on to the next set.
            let beyond = |v: &RebaseStatus| v.base == r.digest;
            view.is_some_and(|v| beyond(&v) || (v.goal == r.digest && v.phase >= phase))
        };
        self.peers.live().all(reached)
    }

    /// Publishes some flows that the new base table does not reproduce, and advances the scan.
    fn step(&mut self, now: MonoTime, at: usize, out: &mut Vec<BalancerAction>) {
        let time = self.clock.issue(now);
        let members = self.publishers();
        let s = &mut self.services[at];
        let Some(r) = s.rebase.as_mut() else {
            return;
        };
        let own_share = r.phase == RebasePhase::Publishing;
        let mut pins: Vec<Pin> = Vec::new();
        let (id, targets, table) = (s.id, &s.targets, &r.table);
        let start = r.cursor.unwrap_or(0);
        let mut next = start;
        let mut end = false;
        // One bucket per iteration, so that the step ends as soon as its publication is full.
        let mut seen: Vec<TargetId> = Vec::new();
        while has_room(pins.len(), seen.len()) && next < start + STEP_BUCKETS && !end {
            let cursor = s.flows.sweep(next, 1, |hash, e| {
                let leftover = !e.is_pinned() && table.owner(hash) != Some(e.target());
                let mine = !own_share || publisher(&members, Rebase::bucket(hash)) == Some(0);
                if leftover
                    && mine
                    && let Some(slot) = targets.get(e.target())
                {
                    e.pin(e.target(), time);
                    if !seen.contains(&slot.id) {
                        seen.push(slot.id);
                    }
                    pins.push(Pin {
                        service: id,
                        target: slot.id,
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
            let number = self.publish_old(now, pins, out);
            if let Some(r) = &mut self.services[at].rebase {
                r.last_publication = number;
            }
        }
        if end && !own_share {
            self.services[at].recheck();
        }
    }

    fn publish_old(
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

    fn try_advance(&mut self, now: MonoTime, at: usize, out: &mut Vec<BalancerAction>) {
        let s = &self.services[at];
        let Some(r) = &s.rebase else {
            return;
        };
        let published = r.cursor.is_none() && self.publisher.is_complete_to(r.last_publication);
        if !published || !self.sync.is_done() || !self.all_reached(at, r.phase) {
            return;
        }
        let s = &mut self.services[at];
        if let Some(r) = &mut s.rebase {
            r.advance();
        }
        match s.phase() {
            RebasePhase::Defaulted => s.use_goal_as_base(),
            RebasePhase::Settled => s.settle(),
            _ => {}
        }
        self.phase_changed(now, at, out);
    }

    fn phase_changed(&mut self, now: MonoTime, at: usize, out: &mut Vec<BalancerAction>) {
        let s = &self.services[at];
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
fn publisher(members: &[MemberId], bucket: usize) -> Option<usize> {
    let key = (bucket as u64).to_le_bytes();
    let rank = |m: &MemberId| xxh3_64_with_seed(&key, m.get().into());
    (0..members.len()).min_by_key(|&i| Reverse(rank(&members[i])))
}
