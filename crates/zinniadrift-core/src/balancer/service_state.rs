use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::placement::{Placement, PlacementReason};
use super::{BaseSet, MAX_PINS, OwnerTable, Rebase, RebasePhase, RebaseStatus, TargetTable};
use crate::flow::{FlowEntry, FlowKey, FlowTable, Pin};
use crate::ids::{ServiceId, TargetId};
use crate::settings::{FlowPolicies, Service};
use crate::units::{HybridClock, MonoTime, Version, Weight};

/// Flows by which a target may always exceed its fair share, so that small numbers of flows do not
/// count as imbalance.
const IMBALANCE_SLACK_FLOWS: f64 = 2.0;
/// Random draws for an alternate target before the first usable one is taken.
const MAX_ALTERNATE_DRAWS: usize = 6;

/// The state of one service: its targets, tables and flows.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    pub(super) id: ServiceId,
    pub(super) address: SocketAddrV4,
    pub(super) policies: FlowPolicies,
    pub(super) targets: TargetTable,
    pub(super) flows: FlowTable,
    /// The set whose table gives the targets of unknown flows.
    pub(super) base: BaseSet,
    pub(super) base_digest: u64,
    base_table: Arc<OwnerTable>,
    /// The targets that take new flows according to the settings.
    pub(super) active: BaseSet,
    pub(super) active_digest: u64,
    active_table: Arc<OwnerTable>,
    pub(super) rebase: Option<Rebase>,
    /// Whether the base set comes only from this member's settings; a snapshot then replaces it.
    pub(super) provisional: bool,
    /// Whether flows that the base table does not reproduce may still have to be published.
    pub(super) needs_review: bool,
    /// The bucket of the flow table at which the handover continues.
    pub(super) handover_cursor: usize,
}

impl ServiceState {
    /// Returns the state of a service that is new to this member.
    pub(super) fn new(now: MonoTime, service: &Service, version: Version) -> Self {
        let mut state = Self {
            id: service.id,
            address: service.address,
            policies: service.policies.flows.clone(),
            targets: TargetTable::default(),
            flows: FlowTable::new(service.address, service.policies.flows.flow_table_capacity),
            base: BaseSet::default(),
            base_digest: 0,
            base_table: Arc::default(),
            active: BaseSet::default(),
            active_digest: 0,
            active_table: Arc::default(),
            rebase: None,
            provisional: true,
            needs_review: false,
            handover_cursor: 0,
        };
        state.configure(now, service, version, false);
        state.use_active_as_base();
        state
    }

    /// Applies new settings of the service; the base set does not change.
    pub(super) fn configure(&mut self, now: MonoTime, s: &Service, version: Version, ramp: bool) {
        self.address = s.address;
        self.policies = s.policies.flows.clone();
        self.flows.set_service(s.address);
        self.flows.set_capacity(self.policies.flow_table_capacity);
        self.targets.configure(now, &s.targets, ramp);
        self.targets.eject(self.policies.ejection_limit);
        let active = s.targets.iter().filter(|t| t.is_active());
        let mut targets: Vec<_> = active.map(|t| (t.id, t.weight)).collect();
        targets.sort_unstable();
        let set = BaseSet {
            service: s.id,
            version,
            targets,
            previous: Vec::new(),
        };
        let digest = set.digest();
        if digest != self.active_digest || self.active.service != s.id {
            self.active_table = Arc::new(OwnerTable::build(&set, &mut self.targets));
            self.active_digest = digest;
            self.active = set;
        }
    }

    /// Replaces the base set by the active set at once, without a rebase.
    pub(super) fn use_active_as_base(&mut self) {
        self.base = self.active.clone();
        self.base_digest = self.active_digest;
        self.base_table = Arc::clone(&self.active_table);
        self.rebase = None;
    }

    /// Replaces the base set by the one of a peer's snapshot.
    pub(super) fn adopt_base(&mut self, mut base: BaseSet) {
        self.provisional = false;
        let old = std::mem::take(&mut base.previous);
        let digest = base.digest();
        if digest != self.base_digest {
            self.base_table = Arc::new(OwnerTable::build(&base, &mut self.targets));
            self.base_digest = digest;
            self.rebase = None;
            self.needs_review = true;
        }
        self.base = base;
        if !old.is_empty() {
            self.join_rebase(old);
        }
    }

    /// Joins a rebase in which peers already use the new base set, as this member now does.
    fn join_rebase(&mut self, old: Vec<(TargetId, Weight)>) {
        let old_set = BaseSet {
            service: self.id,
            targets: old,
            ..BaseSet::default()
        };
        let old = Arc::new(OwnerTable::build(&old_set, &mut self.targets));
        let (goal, table) = (self.base.clone(), Arc::clone(&self.base_table));
        let mut rebase = Rebase::new(goal, table, old_set, old);
        rebase.phase = RebasePhase::Defaulted;
        self.rebase = Some(rebase);
    }

    /// Returns the base set for a snapshot, with the previous one while a rebase is `Defaulted`.
    pub(super) fn base_for_snapshot(&self) -> BaseSet {
        let mut set = self.base.clone();
        let defaulted = self.rebase.as_ref();
        if let Some(r) = defaulted.filter(|r| r.phase == RebasePhase::Defaulted) {
            set.previous.clone_from(&r.old_set.targets);
        }
        set
    }

    /// Starts a rebase from the base set to the active set.
    pub(super) fn start_rebase(&mut self) {
        self.rebase = Some(Rebase::new(
            self.active.clone(),
            Arc::clone(&self.active_table),
            self.base.clone(),
            Arc::clone(&self.base_table),
        ));
    }

    /// Replaces the base set by the goal of the rebase.
    pub(super) fn use_goal_as_base(&mut self) {
        if let Some(r) = &self.rebase {
            self.base = r.goal.clone();
            self.base_digest = r.goal_digest;
            self.base_table = Arc::clone(&r.goal_table);
        }
    }

    /// Ends the rebase and unpins the flows that the new base table reproduces.
    pub(super) fn finish_rebase(&mut self) {
        self.rebase = None;
        let base = Arc::clone(&self.base_table);
        self.flows.sweep(0, usize::MAX, |hash, e| {
            if !e.is_pending() && base.owner(hash) == Some(e.target()) {
                e.unpin();
            }
            false
        });
    }

    /// Returns the phase of the rebase.
    pub(super) fn phase(&self) -> RebasePhase {
        let rebase = self.rebase.as_ref();
        rebase.map_or(RebasePhase::Settled, |r| r.phase)
    }

    /// Returns the status for heartbeats, or `None` without a rebase.
    pub(super) fn status(&self) -> Option<RebaseStatus> {
        self.rebase.as_ref().map(|r| RebaseStatus {
            service: self.id,
            phase: r.phase,
            base: self.base_digest,
            goal: r.goal_digest,
            goal_version: r.goal.version,
        })
    }

    /// Returns the index of the target that the base table gives.
    pub(super) fn base_owner(&self, hash: u64) -> Option<u16> {
        self.base_table.owner(hash)
    }

    /// Returns the key of a caller's flow.
    pub(super) fn flow_key(&self, caller: SocketAddrV4) -> FlowKey {
        FlowKey {
            caller,
            service: self.address,
        }
    }

    /// Evicts a flow that the base table reproduces on every member; returns whether there was one.
    pub(super) fn evict(&mut self) -> bool {
        let moves = |hash| self.rebase.as_ref().is_some_and(|r| r.moves(hash));
        let base = &self.base_table;
        let reproduces = |hash, e: &FlowEntry| base.owner(hash) == Some(e.target());
        let evictable =
            |hash, e: &FlowEntry| !e.is_pending() && reproduces(hash, e) && !moves(hash);
        self.flows.evict(evictable)
    }

    /// Returns whether a joining member needs the entry: it is pinned or not on the base target.
    pub(super) fn is_exception(&self, hash: u64, e: &FlowEntry) -> bool {
        e.is_pinned() || self.base_owner(hash) != Some(e.target())
    }

    /// Returns whether a known flow is reproduced neither by the active set's table nor by a pin.
    pub(super) fn has_unreproduced_flows(&self) -> bool {
        self.unreproduced_flow(&self.active_table).is_some()
    }

    /// Continues the scan of the rebase if flows were added behind its position.
    pub(super) fn resume_scan(&mut self) {
        if let Some(r) = &self.rebase {
            let found = self.unreproduced_flow(&r.goal_table);
            if let Some(r) = &mut self.rebase {
                r.cursor = found;
            }
        }
    }

    /// Removes idle and closed flows in `n` buckets from `at`; returns their number and the next
    /// position.
    pub(super) fn expire(
        &mut self,
        now: MonoTime,
        at: usize,
        n: usize,
        closed_flow_timeout: Duration,
    ) -> (u64, Option<usize>) {
        let idle = Duration::from_secs(self.policies.idle_timeout_s);
        let mut expired = 0;
        let next = self.flows.sweep(at, n, |_, e| {
            // Peers keep the pin of a flow whose FIN or RST only this member received, and a
            // half-closed flow still needs its pin, so pins stay until the idle timeout.
            let bound = if e.is_closing() && !e.is_pinned() {
                closed_flow_timeout
            } else {
                idle
            };
            let remove = !e.is_pending() && e.idle_time(now) >= bound;
            expired += u64::from(remove);
            remove
        });
        (expired, next)
    }

    /// Renews pins of active flows before they expire on members that receive no packets of them.
    pub(super) fn renew_pins(
        &mut self,
        now: MonoTime,
        at: usize,
        n: usize,
        clock: &mut HybridClock,
        pins: &mut Vec<Pin>,
    ) {
        let half = Duration::from_secs(self.policies.idle_timeout_s) / 2;
        let (id, targets) = (self.id, &self.targets);
        self.flows.sweep(at, n, |_, e| {
            let due = e.is_pinned() && clock.age(now, e.pin_time()) >= half;
            if due
                && e.idle_time(now) < half
                && !e.is_closing()
                && pins.len() < MAX_PINS
                && let Some(target) = targets.get(e.target())
            {
                let time = clock.issue(now);
                e.pin(e.target(), time);
                pins.push(Pin {
                    service: id,
                    target: target.id,
                    time,
                    caller: e.caller(),
                });
            }
            false
        });
    }

    /// Replaces stale or implausible load reports by estimates from the known flows.
    pub(super) fn refresh_loads(&mut self, now: MonoTime) {
        let flows = &self.flows;
        self.targets.refresh(now, |target| flows.count(target));
    }

    /// Returns all pins that a joining member needs.
    pub(super) fn exceptions(&self) -> impl Iterator<Item = Pin> {
        let entries = self.flows.iter();
        let needed = entries.filter(|e| self.is_exception(self.flows.hash(e.caller()), e));
        needed.filter_map(|e| self.pin_of(e))
    }

    /// Returns the pin of a flow entry, or `None` if its target is unknown.
    pub(super) fn pin_of(&self, e: &FlowEntry) -> Option<Pin> {
        self.targets.get(e.target()).map(|target| Pin {
            service: self.id,
            target: target.id,
            time: e.pin_time(),
            caller: e.caller(),
        })
    }

    /// Chooses the target of a new flow, or returns `None` if the service has no active target.
    ///
    /// `members` is the number of members that place flows alike. `may_publish` returns whether an
    /// optional exception is allowed, and takes its tokens.
    pub(super) fn place(
        &mut self,
        now: MonoTime,
        hash: u64,
        members: f64,
        rng: &mut Xoshiro256PlusPlus,
        may_publish: impl FnOnce() -> bool,
    ) -> Option<Placement> {
        let desired = self.active_table.owner(hash)?;
        let moves = self.moves(hash);
        let base = self.base_owner(hash);
        let mut target = desired;
        let mut reason = PlacementReason::Forced;
        let mut optional_skipped = false;
        if self.targets.get(desired).is_some_and(|t| t.ejected) {
            target = self.alternate(now, desired, rng).unwrap_or(desired);
        } else if let Some((alternate, alternate_reason)) = self.better_target(now, desired, rng) {
            // A flow that must be published anyway can be balanced at no further cost.
            if moves || base != Some(desired) || base == Some(alternate) || may_publish() {
                target = alternate;
                reason = alternate_reason;
            } else {
                optional_skipped = true;
            }
        }
        let publish = moves || base != Some(target);
        if !publish {
            reason = PlacementReason::Base;
        }
        self.targets.record_placement(now, target, members);
        Some(Placement {
            target,
            publish,
            reason,
            optional_skipped,
        })
    }

    fn unreproduced_flow(&self, table: &OwnerTable) -> Option<usize> {
        let differs = |hash, e: &FlowEntry| table.owner(hash) != Some(e.target());
        self.flows
            .position(|hash, e| !e.is_pinned() && differs(hash, e))
    }

    fn moves(&self, hash: u64) -> bool {
        self.rebase.as_ref().is_some_and(|r| r.moves(hash))
    }

    fn better_target(
        &self,
        now: MonoTime,
        desired: u16,
        rng: &mut Xoshiro256PlusPlus,
    ) -> Option<(u16, PlacementReason)> {
        let target = self.targets.get(desired)?;
        let share = target.ramp_share(now, self.ramp());
        if share < 1.0 && rng.random::<f64>() >= share {
            let alternate = self.alternate(now, desired, rng)?;
            return Some((alternate, PlacementReason::ColdStart));
        }
        let bound = self.targets.mean_ratio() * (1.0 + self.policies.imbalance_tolerance);
        if target.load <= bound * target.weight + IMBALANCE_SLACK_FLOWS {
            return None;
        }
        let alternate = self.alternate(now, desired, rng)?;
        let better = self.targets.get(alternate)?.ratio() < target.ratio();
        better.then_some((alternate, PlacementReason::Balance))
    }

    /// Returns the less loaded of two random usable targets other than `excluded`.
    fn alternate(&self, now: MonoTime, excluded: u16, rng: &mut Xoshiro256PlusPlus) -> Option<u16> {
        let mut best: Option<u16> = None;
        let mut found = 0;
        for _ in 0..MAX_ALTERNATE_DRAWS {
            let Some(candidate) = self.active_table.owner(rng.random()) else {
                break;
            };
            let Some(target) = self.targets.get(candidate) else {
                continue;
            };
            let ramped = rng.random::<f64>() < target.ramp_share(now, self.ramp());
            if candidate == excluded || !target.is_usable() || !ramped {
                continue;
            }
            let better = |b: u16| {
                self.targets
                    .get(b)
                    .is_none_or(|b| target.ratio() < b.ratio())
            };
            if best.is_none_or(better) {
                best = Some(candidate);
            }
            found += 1;
            if found == 2 {
                break;
            }
        }
        best.or_else(|| self.targets.any_usable(rng.random_range(0..64)))
    }

    fn ramp(&self) -> Duration {
        Duration::from_secs(self.policies.ramp_s)
    }
}
