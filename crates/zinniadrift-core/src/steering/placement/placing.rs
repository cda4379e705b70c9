use std::sync::Arc;

use rand::RngExt;

use crate::ids::ServiceId;
use crate::units::MonoTime;

use crate::steering::directory::target_directory::TargetIndex;
use crate::steering::flows::open_flows::{is_lapsed, reset};
use crate::steering::flows::tracked_flow::FlowPhase;
use crate::steering::placement::choice::{Candidate, pick_lowest_cost};
use crate::steering::placement::eligibility::{
    Eligibility, Exclusion, FailedOpen, PlacementRequest,
};
use crate::steering::routes::route_profile::RouteProfile;
use crate::steering::targets::target_record::TargetRecord;
use crate::steering::{
    Decision, DropReason, OpenEvidence, ResetReason, RoomAnswer, Route, Segment, Steering, Verdict,
    WeightedService,
};

/// The load of an open but idle flow, in active requests: the share of time in which a long flow
/// has an active request, at one request of 50 ms per second.
const IDLE_FLOW_LOAD: f32 = 0.05;
/// The lowest priority that counts as urgent; 0 is the highest.
const LAST_URGENT_PRIORITY: u8 = 1;

/// The outcome of choosing a target for a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Placement {
    At(TargetIndex),
    /// Every target that could take the flow is at its limit, or its route or caller has no room.
    Full,
    /// Every target that could take the flow is in a zone out of service.
    ZonesDrained,
    /// Room is expected by the caller's next opening packet.
    AwaitingRoom,
    NoTarget,
}

impl Steering {
    pub(in crate::steering) fn on_open(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        retransmissions: u32,
    ) -> Verdict {
        self.supersede(&seg.flow);
        let routes = Arc::clone(&self.routes);
        let Some(route) = routes.get(seg.flow.service) else {
            return self.refuse_without_route(now, seg);
        };
        self.record_overdue_opens(now);
        let unanswered = self.unanswered_target(now, seg, retransmissions);
        let failed = unanswered
            .filter(|_| self.cfg.placement.move_retransmitted_opens)
            .and_then(|target| {
                let flow = self.flows.get(&seg.flow)?;
                Some(FailedOpen {
                    target,
                    before: flow.previous_target,
                    sent: flow.last_seen,
                })
            });
        let index = match self.place(now, seg, route, failed) {
            Placement::At(index) => index,
            Placement::Full => return reset(seg, ResetReason::Overloaded),
            Placement::ZonesDrained => return reset(seg, ResetReason::ZonesDrained),
            Placement::AwaitingRoom => return Verdict::Drop(DropReason::AwaitingRoom),
            Placement::NoTarget => return self.handle_missing_target(now, seg),
        };
        self.counters.warm_up_placed += u64::from(self.use_permit(now, index));
        if unanswered.is_some_and(|i| i != index) {
            self.counters.moved += 1;
        }
        self.record_placement(seg, retransmissions, index, unanswered);
        self.flows.record_open(&mut self.directory, now, seg, index);
        if self.shares_observations() {
            self.opens.push(now, seg.flow);
        }
        if self.cfg.placement.open_evidence == OpenEvidence::Overdue {
            self.open_timer.push(now, seg.flow);
        }
        self.forward(seg, index)
    }

    /// Returns the target that did not respond to the previous opening packet, and records that as
    /// a failure.
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
        let is_overdue = flow.is_overdue;
        let record = self.directory.get_mut(index)?;
        record.liveness.record_retransmission();
        if !is_overdue {
            self.record_unanswered_open(now, index);
        }
        self.queue_probe_if_due(now, index);
        Some(index)
    }

    /// Avoids a target that did not respond to an opening packet, and its zone if none of it does.
    fn record_unanswered_open(&mut self, now: MonoTime, index: TargetIndex) {
        let cfg = &self.cfg.placement;
        let Some(record) = self.directory.get_mut(index) else {
            return;
        };
        record.record_unanswered_open(now, cfg.suspicion_timeout);
        let zone = record.instance.zone.clone();
        let is_counted = zone != self.cfg.zone || cfg.open_evidence == OpenEvidence::Overdue;
        if is_counted
            && cfg.avoid_silent_zones
            && self.zone_health.record_unanswered_open(&zone, index, now)
        {
            let avoided = true;
            self.record_decision(Decision::ZoneSilent { zone, avoided });
        }
    }

    /// Records the opening packets whose answers are overdue.
    ///
    /// Only the next placement needs to know, so that no timer is set for them.
    fn record_overdue_opens(&mut self, now: MonoTime) {
        while let Some((sent, flow)) = self.open_timer.pop_overdue(now) {
            if let Some(index) = self.flows.mark_overdue(sent, &flow) {
                self.counters.opens_overdue += 1;
                self.record_unanswered_open(now, index);
            }
        }
    }

    fn place(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        route: &Route,
        failed: Option<FailedOpen>,
    ) -> Placement {
        let profile = *self
            .route_profiles
            .entry(route.address)
            .or_insert_with(|| RouteProfile::default_for(route));
        let Some(service) = self.pick_service(route) else {
            return Placement::NoTarget;
        };
        let queue_limit = self.queue_limit(route);
        let req = PlacementRequest {
            failed,
            use_lapsed: self.should_use_lapsed(service),
            has_warm_up_limit: self.prepare_warm_up(now, service),
            has_drained_zones: self.has_drained_zones(),
        };
        if self.cfg.room.enabled {
            match self.check_room(now, seg, route, service, &req) {
                RoomAnswer::Admitted => {}
                RoomAnswer::Waits => return Placement::AwaitingRoom,
                RoomAnswer::Refused(_) => return Placement::Full,
            }
        }
        // A target that did not respond is no substitute for targets that respond but are full, so
        // only the candidates of the best class are considered.
        let mut best = Eligibility::Tried;
        let mut group = Vec::new();
        let mut has_drained = false;
        let draw = self.draw_for_returning_zones(now);
        let mut is_limited = false;
        for &index in self.directory.of_service(service) {
            let Some(record) = self.directory.get(index) else {
                continue;
            };
            let eligibility = self.eligibility(now, index, record, &req);
            has_drained |= eligibility == Eligibility::Excluded(Exclusion::ZoneDrained);
            is_limited |= eligibility == Eligibility::Excluded(Exclusion::WarmUpLimit);
            if eligibility > best {
                continue;
            }
            if eligibility < best {
                best = eligibility;
                group.clear();
            }
            let requests = record.active_requests + record.waiting_requests;
            let is_full = requests >= u32::from(record.instance.slots) + queue_limit
                || record.refusals.is_backing_off(now);
            let is_deferred = draw.is_some_and(|draw| draw >= self.zone_share(now, record));
            let candidate = self.candidate(now, index, record, &profile);
            group.push((is_full, is_deferred, candidate));
        }
        if group.is_empty() && is_limited {
            self.counters.warm_up_refused += 1;
            return Placement::Full;
        }
        if group.is_empty() && has_drained {
            return Placement::ZonesDrained;
        }
        if group.is_empty() {
            return Placement::NoTarget;
        }
        let mut candidates: Vec<&mut Candidate> = group.iter_mut().map(|(_, _, c)| c).collect();
        self.spread_by_speed(now, &profile, &mut candidates);
        let with_room = || group.iter().filter(|(is_full, _, _)| !is_full);
        let all_deferred = with_room().all(|(_, is_deferred, _)| *is_deferred);
        let with_room = with_room().filter(|(_, is_deferred, _)| all_deferred || !is_deferred);
        let with_room: Vec<Candidate> = with_room.map(|(_, _, c)| *c).collect();
        let preferred = self.prefer_answering(now, failed, with_room);
        let Some(chosen) = pick_lowest_cost(&preferred, &mut self.rng) else {
            return Placement::Full;
        };
        self.count_share(&chosen);
        Placement::At(chosen.index)
    }

    /// Draws the number that decides whether this flow may go to zones that returned to service a
    /// moment ago; `None` if there are none.
    fn draw_for_returning_zones(&mut self, now: MonoTime) -> Option<f32> {
        let cfg = &self.cfg.zone_drains;
        let is_needed = cfg.enabled && self.zone_drains.has_returning(now, cfg.return_ramp);
        is_needed.then(|| self.rng.random())
    }

    /// Returns the share of new flows for which the target's zone is considered.
    fn zone_share(&self, now: MonoTime, record: &TargetRecord) -> f32 {
        let ramp = self.cfg.zone_drains.return_ramp;
        self.zone_drains.share(&record.instance.zone, now, ramp)
    }

    /// Returns how many requests may queue at a target before it gets no new flow of `route`.
    ///
    /// Less urgent routes are refused first, so that a burst leaves capacity for urgent ones.
    fn queue_limit(&self, route: &Route) -> u32 {
        if route.priority <= LAST_URGENT_PRIORITY {
            self.cfg.placement.queue_limit
        } else {
            self.cfg.placement.queue_limit * 3 / 4
        }
    }

    /// Returns whether more of a service's targets have lapsed than accept new flows.
    ///
    /// That happens when entries expired during an outage of the store; most of these targets are
    /// alive.
    fn should_use_lapsed(&self, service: ServiceId) -> bool {
        let records = self.directory.of_service(service);
        let records = records.iter().filter_map(|i| self.directory.get(*i));
        let (mut open, mut lapsed) = (0, 0);
        // Targets in drained zones are no alternative to lapsed ones in other zones.
        let has_drained = self.has_drained_zones();
        for record in records.filter(|r| !has_drained || !self.is_zone_drained(r)) {
            open += usize::from(record.accepts_new_flows());
            lapsed += usize::from(is_lapsed(record));
        }
        self.cfg.placement.use_lapsed_targets && lapsed > open
    }

    fn candidate(
        &self,
        now: MonoTime,
        index: TargetIndex,
        record: &TargetRecord,
        profile: &RouteProfile,
    ) -> Candidate {
        let load = record.outstanding() as f32;
        let flows = record.open_flows as f32;
        let load = if profile.has_long_flows() {
            flows
        } else {
            load + IDLE_FLOW_LOAD * flows
        };
        let cfg = &self.cfg.placement;
        let median = self.median_response_us.get(&record.instance.service);
        let slowdown = match (record.response_us(now), median) {
            (Some(us), Some(median)) if *median > 0.0 => (us / median).clamp(1.0, cfg.max_slowdown),
            _ => 1.0,
        };
        let is_sharing = self.shares_observations();
        let slowdown = if is_sharing {
            self.shared_slowdown(now, record, slowdown)
        } else {
            slowdown
        };
        let is_cold = now < record.warm_up_end;
        let slowdown = if is_cold {
            slowdown.max(cfg.cold_slowdown)
        } else {
            slowdown
        };
        let attempts = if self.cfg.refusals.weighs_share {
            record.refusals.attempts_per_request(now)
        } else {
            1.0
        };
        let is_near = record.instance.zone == self.cfg.zone;
        let zone_cost = if is_near {
            0.0
        } else {
            cfg.cross_zone_cost + profile.bytes_per_flow() / cfg.bytes_per_cost_unit
        };
        let is_crowded = record.active_requests >= u32::from(record.instance.slots)
            || (is_sharing && self.is_crowded_for_all(now, record));
        let remote_factor = if profile.has_long_flows() && (!is_near || is_crowded) {
            cfg.long_flow_remote_factor
        } else {
            1.0
        };
        Candidate {
            index,
            load,
            slots: f32::from(record.instance.slots),
            slowdown: slowdown * attempts,
            zone_cost,
            remote_factor,
            unit: 1.0,
            share_cost: 0.0,
            share: 1.0,
        }
    }

    /// Picks one of the route's services at random by weight, among those with a target, and outside
    /// drained zones if there is one.
    fn pick_service(&mut self, route: &Route) -> Option<ServiceId> {
        let usable = |service: ServiceId| !self.directory.of_service(service).is_empty();
        if let [only] = route.services.as_slice() {
            return usable(only.service).then_some(only.service);
        }
        let weighted = route.services.iter();
        let weighted = weighted.filter(|s| s.weight > 0 && usable(s.service));
        let weighted: Vec<&WeightedService> = weighted.collect();
        let in_service = |s: &&&WeightedService| !self.is_drained_throughout(s.service);
        let in_service: Vec<&WeightedService> =
            weighted.iter().filter(in_service).copied().collect();
        if in_service.is_empty() {
            return weighted.first().map(|s| s.service);
        }
        let total: u64 = in_service.iter().map(|s| u64::from(s.weight)).sum();
        let mut point = self.rng.random_range(0..total);
        for entry in in_service {
            let weight = u64::from(entry.weight);
            if point < weight {
                return Some(entry.service);
            }
            point -= weight;
        }
        None
    }

    /// Returns whether all targets of a service that accept new flows are in drained zones.
    fn is_drained_throughout(&self, service: ServiceId) -> bool {
        let records = self.directory.of_service(service).iter();
        let records = records.filter_map(|i| self.directory.get(*i));
        let mut records = records.filter(|r| r.accepts_new_flows()).peekable();
        records.peek().is_some() && records.all(|r| self.is_zone_drained(r))
    }

    fn handle_missing_target(&self, now: MonoTime, seg: &Segment) -> Verdict {
        if self.directory_sync.is_fresh(now, self.cfg.max_staleness) {
            return reset(seg, ResetReason::NoTarget);
        }
        Verdict::Drop(DropReason::DirectoryStale)
    }

    fn record_placement(
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
            outstanding: record.outstanding(),
            directory: self.directory.as_of(),
            version: self.version(),
        };
        self.record_decision(decision);
    }
}
