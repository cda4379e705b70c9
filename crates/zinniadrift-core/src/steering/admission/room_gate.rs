use std::time::Duration;

use hashbrown::HashMap;

use crate::ids::ServiceId;
use crate::units::MonoTime;

use super::{RefusalCause, RoomAnswer, RoomPolicy, RoomRequest, RoomView, WaitMeter};
use crate::steering::directory::target_directory::TargetIndex;
use crate::steering::placement::eligibility::{Eligibility, PlacementRequest};
use crate::steering::{Decision, Route, RouteTable, Segment, SegmentKind, Steering};

/// The admission of new flows, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoomGate {
    services: HashMap<ServiceId, ServiceRoom>,
}

#[derive(Clone, Debug)]
struct ServiceRoom {
    policy: RoomPolicy,
    meter: WaitMeter,
}

impl ServiceRoom {
    fn new() -> Self {
        Self {
            policy: RoomPolicy::default(),
            meter: WaitMeter::new(),
        }
    }
}

impl RoomGate {
    /// Forgets the routes that are not in force, and the services without a route.
    pub(crate) fn retain_routes(&mut self, routes: &RouteTable) {
        let has_service =
            |route: &Route, service| route.services.iter().any(|s| s.service == service);
        self.services
            .retain(|service, _| routes.iter().any(|r| has_service(r, *service)));
    }
}

impl Steering {
    /// Returns whether `service` has room for the new flow.
    pub(in crate::steering) fn check_room(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        route: &Route,
        service: ServiceId,
        placement: &PlacementRequest,
    ) -> RoomAnswer {
        let (Some(latency_target), Some(timeout)) = (route.latency_target, route.timeout) else {
            return RoomAnswer::Admitted;
        };
        let SegmentKind::Open { retransmissions } = seg.kind else {
            return RoomAnswer::Admitted;
        };
        // The retransmitted opening packet of a flow that was placed has its room.
        if retransmissions > 0 && self.flows.get(&seg.flow).is_some() {
            return RoomAnswer::Admitted;
        }
        let profile = self.route_profiles.get(&route.address);
        let req = RoomRequest {
            route: route.address,
            priority: route.priority,
            latency_target,
            timeout,
            caller: *seg.flow.caller.ip(),
            retransmissions,
            requests_per_flow: profile.map_or(1.0, |p| p.requests_per_flow().max(1.0)),
        };
        let response_time = self.gate.baseline(route.address, latency_target);
        let view = self.room_view(now, service, placement, response_time);
        if view.slots == 0 {
            return RoomAnswer::Admitted;
        }
        let room = self.room.services.entry(service);
        let room = room.or_insert_with(ServiceRoom::new);
        let answer = room.policy.decide(&self.cfg.room, now, &view, &req);
        if let RoomAnswer::Refused(cause) = answer {
            self.record_refusal(seg, route, cause, view.wait());
        }
        answer
    }

    /// Returns the requests under way at the target over all balancers, if that is known.
    fn outstanding(&self, _target: TargetIndex) -> Option<u32> {
        None
    }

    /// Returns the capacity of a service's usable targets and its use.
    ///
    /// Without the number of requests over all balancers, it follows from the time that responses
    /// take: a balancer's own requests are a small part of all.
    fn room_view(
        &mut self,
        now: MonoTime,
        service: ServiceId,
        placement: &PlacementRequest,
        response_time: Duration,
    ) -> RoomView {
        let mut slots = 0;
        let mut waiting = Vec::new();
        let mut outstanding = Some(0);
        for &index in self.directory.of_service(service) {
            let Some(record) = self.directory.get(index) else {
                continue;
            };
            if self.eligibility(now, index, record, placement) != Eligibility::Trusted {
                continue;
            }
            let own_slots = u32::from(record.instance.slots);
            slots += own_slots;
            waiting.push(record.waiting_requests);
            outstanding = outstanding.zip(self.outstanding(index)).map(|(a, b)| a + b);
        }
        let targets = waiting.len() as u32;
        // Requests that wait for a few slow targets do not delay a new flow to another.
        waiting.sort_unstable();
        let backlog = waiting.get(waiting.len() / 2).map_or(0, |n| n * targets);
        let room = self.room.services.entry(service);
        let meter = &mut room.or_insert_with(ServiceRoom::new).meter;
        let completed_per_s = meter.completed_per_s(now);
        let view = RoomView {
            slots,
            places: slots + targets * self.cfg.placement.queue_limit,
            outstanding: 0.0,
            response_time,
            completed_per_s,
        };
        let outstanding = outstanding.map_or_else(
            || {
                let backlog_s = backlog as f32 / completed_per_s.max(1.0);
                let full = view.full_wait();
                let wait = meter.wait(now, full) + Duration::from_secs_f32(backlog_s);
                RoomView::outstanding_at(slots, response_time, wait)
            },
            |n| n as f32,
        );
        RoomView {
            outstanding,
            ..view
        }
    }

    /// Records a response of a target.
    pub(in crate::steering) fn record_room_response(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        index: TargetIndex,
        took: Duration,
        refused: bool,
    ) {
        if !self.cfg.room.enabled {
            return;
        }
        let route = self.routes.get(seg.flow.service);
        let Some(latency_target) = route.and_then(|r| r.latency_target) else {
            return;
        };
        let Some(record) = self.directory.get(index) else {
            return;
        };
        let room = self.room.services.entry(record.instance.service);
        let meter = &mut room.or_insert_with(ServiceRoom::new).meter;
        if refused {
            meter.record_refusal(now);
            return;
        }
        if seg.kind == SegmentKind::Close {
            // On a flow of a single request no other packet may show the response.
            self.gate
                .learn_baseline(now, seg.flow.service, took, latency_target);
        }
        let baseline = self.gate.baseline(seg.flow.service, latency_target);
        meter.record_answer(now, took, baseline);
    }

    fn record_refusal(
        &mut self,
        seg: &Segment,
        route: &Route,
        cause: RefusalCause,
        wait: Duration,
    ) {
        *self.counters.refused_mut(cause) += 1;
        self.record_decision(Decision::Refused {
            flow: seg.flow,
            route: route.name.clone(),
            priority: route.priority,
            cause,
            wait,
        });
    }
}
