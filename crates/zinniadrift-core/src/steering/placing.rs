use std::sync::Arc;

use rand::RngExt;

use crate::ids::ServiceId;
use crate::units::MonoTime;

use super::choice::{Candidate, pick_least};
use super::directory::TargetIndex;
use super::open_flows::{may_live, reset};
use super::route_profile::RouteProfile;
use super::target_state::TargetRecord;
use super::tracked_flow::FlowPhase;
use super::{Decision, DropReason, ResetReason, Route, Segment, Steering, Verdict};

/// The weight of an open but idle long flow in a target's load: the share of time in which such a
/// flow has a request at work, 1 request of 50 ms a second.
const IDLE_FLOW_LOAD: f32 = 0.05;
/// How much longer a target works on a request before it has warmed up.
const COLD_SLOWNESS: f32 = 1.6;
/// The largest slowness that is believed; beyond it the target is only chosen last anyway.
const MAX_SLOWNESS: f32 = 8.0;
/// What another availability zone costs, in requests at work a slot: the way is longer.
const ZONE_DISTANCE: f32 = 0.15;
/// Upload bytes to another zone that cost as much as one request at work a slot.
const BYTES_PER_DISTANCE: f32 = 20_000.0;
/// How many times more long flows a target of the own zone carries before one of another zone gets
/// a flow, unless all its slots are at work. Flows within a zone survive a cut between zones.
const LONG_FLOW_REMOTENESS: f32 = 8.0;
/// The last priority that counts as urgent; 0 is the highest.
const LAST_URGENT_PRIORITY: u8 = 1;

/// Is the outcome of a choice for a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Placement {
    At(TargetIndex),
    /// Every target that could take the flow is at its limit.
    Full,
    NoTarget,
}

impl Steering {
    pub(super) fn on_open(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        retransmissions: u32,
    ) -> Verdict {
        let routes = Arc::clone(&self.routes);
        let Some(route) = routes.get(seg.flow.service) else {
            return self.without_route(now, seg);
        };
        let unanswered = self.unanswered_target(now, seg, retransmissions);
        let avoid = unanswered.and_then(|i| self.flows.get(&seg.flow).map(|f| (i, f.tried)));
        let index = match self.place(now, route, avoid) {
            Placement::At(index) => index,
            Placement::Full => return reset(seg, ResetReason::Overloaded),
            Placement::NoTarget => return self.without_target(now, seg),
        };
        if unanswered.is_some_and(|i| i != index) {
            self.counters.moved += 1;
        }
        self.note_placement(seg, retransmissions, index, unanswered);
        self.flows.open(&mut self.directory, now, seg, index);
        self.forward(seg, index)
    }

    /// Returns the target that left the copy before without an answer, and remembers its silence.
    fn unanswered_target(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        retransmissions: u32,
    ) -> Option<TargetIndex> {
        if retransmissions == 0 {
            return None;
        }
        let flow = self.flows.get(&seg.flow)?;
        if flow.phase != FlowPhase::Opening {
            return None;
        }
        let index = flow.target;
        let record = self.directory.get_mut(index)?;
        record.note_silence(now, self.cfg.suspicion_timeout);
        let zone = record.instance.zone.clone();
        self.ask_for_probe(now, index);
        if zone != self.cfg.zone {
            self.zones.note_silence(&zone, index, now);
        }
        Some(index)
    }

    fn place(
        &mut self,
        now: MonoTime,
        route: &Route,
        avoid: Option<(TargetIndex, Option<TargetIndex>)>,
    ) -> Placement {
        let profile = *self
            .profiles
            .entry(route.address)
            .or_insert_with(|| RouteProfile::expected(route));
        let Some(service) = self.pick_service(route) else {
            return Placement::NoTarget;
        };
        let queue_limit = self.queue_limit(route);
        let (mut trusted, mut suspects, mut tried) = (Vec::new(), Vec::new(), Vec::new());
        let lapsed_count = self.count_lapsed(service);
        for &index in self.directory.of_service(service) {
            let Some(record) = self.directory.get(index) else {
                continue;
            };
            let usable = record.is_open() || (lapsed_count && may_live(record));
            let is_ended = !self.directory.owns_tag(index) || self.directory.is_succeeded(index);
            if !usable || is_ended {
                continue;
            }
            let is_full = record.busy >= u32::from(record.instance.slots) + queue_limit;
            let zone_avoided = self.zones.is_avoided(&record.instance.zone, now);
            let was_tried = avoid.is_some_and(|(a, b)| a == index || b == Some(index));
            let group = if was_tried {
                &mut tried
            } else if zone_avoided || record.is_suspect(now) {
                &mut suspects
            } else {
                &mut trusted
            };
            group.push((is_full, self.candidate(now, index, record, &profile)));
        }
        // A silent target is no way out while those that answer are full.
        let group = [trusted, suspects, tried]
            .into_iter()
            .find(|g| !g.is_empty());
        let Some(group) = group else {
            return Placement::NoTarget;
        };
        let with_room = group.iter().filter(|(is_full, _)| !is_full);
        let with_room: Vec<Candidate> = with_room.map(|(_, c)| *c).collect();
        pick_least(&with_room, &mut self.rng).map_or(Placement::Full, Placement::At)
    }

    /// Returns how many requests may wait at a target before it gets no new flow of `route`.
    ///
    /// Less urgent routes are refused first, so that a burst leaves room for urgent ones.
    fn queue_limit(&self, route: &Route) -> u32 {
        if route.priority <= LAST_URGENT_PRIORITY {
            self.cfg.queue_limit
        } else {
            self.cfg.queue_limit * 3 / 4
        }
    }

    /// Tells whether more of a service's targets have lapsed than are listed.
    ///
    /// That happens when entries expired during an outage of the store; most of these targets live.
    fn count_lapsed(&self, service: ServiceId) -> bool {
        let records = self.directory.of_service(service);
        let records = records.iter().filter_map(|i| self.directory.get(*i));
        let (mut open, mut lapsed) = (0, 0);
        for record in records {
            open += usize::from(record.is_open());
            lapsed += usize::from(may_live(record));
        }
        lapsed > open
    }

    fn candidate(
        &self,
        now: MonoTime,
        index: TargetIndex,
        record: &TargetRecord,
        profile: &RouteProfile,
    ) -> Candidate {
        let load = record.load() as f32;
        let flows = record.flows as f32;
        let load = if profile.has_long_flows() {
            flows
        } else {
            load + IDLE_FLOW_LOAD * flows
        };
        let cold = if now < record.warm_at {
            COLD_SLOWNESS
        } else {
            1.0
        };
        let median = self.medians.get(&record.instance.service);
        let slowness = match (record.answer_us(now), median) {
            (Some(us), Some(median)) if *median > 0.0 => (us / median).clamp(1.0, MAX_SLOWNESS),
            _ => 1.0,
        };
        let is_near = record.instance.zone == self.cfg.zone;
        let distance = if is_near {
            0.0
        } else {
            ZONE_DISTANCE + profile.bytes_per_flow() / BYTES_PER_DISTANCE
        };
        let is_crowded = record.busy >= u32::from(record.instance.slots);
        let remoteness = if profile.has_long_flows() && (!is_near || is_crowded) {
            LONG_FLOW_REMOTENESS
        } else {
            1.0
        };
        Candidate {
            index,
            load,
            slots: f32::from(record.instance.slots),
            slowness: slowness.max(cold),
            distance,
            remoteness,
        }
    }

    /// Picks one of the route's services by weight, among those with a target.
    fn pick_service(&mut self, route: &Route) -> Option<ServiceId> {
        let usable = |service: ServiceId| !self.directory.of_service(service).is_empty();
        if let [only] = route.services.as_slice() {
            return usable(only.service).then_some(only.service);
        }
        let services = || {
            route
                .services
                .iter()
                .filter(|b| b.weight > 0 && usable(b.service))
        };
        let total: u64 = services().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = self.rng.random_range(0..total);
        for choice in services() {
            let weight = u64::from(choice.weight);
            if point < weight {
                return Some(choice.service);
            }
            point -= weight;
        }
        None
    }

    fn without_target(&self, now: MonoTime, seg: &Segment) -> Verdict {
        if self.directory_sync.is_fresh(now, self.cfg.max_staleness) {
            return reset(seg, ResetReason::NoTarget);
        }
        Verdict::Drop(DropReason::DirectoryStale)
    }

    fn note_placement(
        &mut self,
        seg: &Segment,
        retransmissions: u32,
        index: TargetIndex,
        unanswered: Option<TargetIndex>,
    ) {
        let name = |i: TargetIndex| self.directory.get(i).map(|r| r.instance.name.clone());
        let Some(record) = self.directory.get(index) else {
            return;
        };
        let decision = Decision::Placed {
            flow: seg.flow,
            target: record.instance.name.clone(),
            retransmissions,
            instead_of: unanswered.and_then(name),
            outstanding: record.load(),
            directory: self.directory.as_of(),
            version: self.version(),
        };
        self.note(decision);
    }
}
