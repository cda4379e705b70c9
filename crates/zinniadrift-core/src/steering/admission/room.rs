use std::time::Duration;

use crate::units::MonoTime;

use super::room_route::RoomRoute;
use super::{RefusalCause, RoomAnswer, RoomRequest, RoomSettings, RoomView};

/// Decides which new flows of a service get room when demand exceeds capacity.
///
/// While the expected wait is short, all flows are admitted. Beyond that, the flows fit that bring
/// about as many requests as the targets complete. They are divided by floors, then by priority,
/// then by whether callers can wait, and within a route by caller address. The decision depends
/// only on the [`RoomView`], the clock and the flows that asked before.
#[derive(Clone, Debug, Default)]
pub struct RoomPolicy {
    /// The routes that ask for room, the most urgent first.
    routes: Vec<RoomRoute>,
}

/// The share of a route's slack up to which all flows are admitted. Half of the slack is the aim;
/// the rate at which it is approached is limited from half of that on.
const FREE_SHARE: f32 = 0.25;
/// The admitted requests relative to the completed ones at the end of free admission. It exceeds 1,
/// so that a queue below the aim grows.
const MAX_GAIN: f32 = 1.25;
/// The admitted requests relative to the completed ones at the limit of the slack.
const LIMIT_GAIN: f32 = 0.5;
/// The part of the demand that is admitted in addition. With it all balancers that see the same
/// wait come to admit the same share, whatever share they had before.
const PROBE_SHARE: f32 = 0.05;
/// The least slack as a share of the response time: a route whose latency target is shorter than
/// its responses would otherwise always be refused.
const MIN_SLACK: f32 = 0.5;
/// The demand in requests per second below which a route counts as without demand.
const MIN_DEMAND: f32 = 0.01;
/// The maximum number of routes of a service that are told apart; flows of others are admitted.
const MAX_ROUTES: usize = 64;

impl RoomPolicy {
    /// Returns whether there is room for a new flow, given the state of its service.
    pub fn decide(
        &mut self,
        cfg: &RoomSettings,
        now: MonoTime,
        view: &RoomView,
        req: &RoomRequest,
    ) -> RoomAnswer {
        let Some(index) = self.record_demand(cfg, now, view, req) else {
            return RoomAnswer::Admitted;
        };
        let wait = view.wait();
        if wait + view.response_time > req.timeout {
            return self.routes[index].refuse(now, req, RefusalCause::Timeout);
        }
        let limit = self.limit(now, index, view);
        if wait <= limit.mul_f32(FREE_SHARE) {
            self.routes[index].admit_freely(now, req);
            return RoomAnswer::Admitted;
        }
        let share = self.share(cfg, now, view, index);
        self.routes[index].admit_share(now, req, share)
    }

    /// Returns the position of the flow's route after its demand is recorded.
    fn record_demand(
        &mut self,
        cfg: &RoomSettings,
        now: MonoTime,
        view: &RoomView,
        req: &RoomRequest,
    ) -> Option<usize> {
        let known = self.routes.iter().position(|r| r.address == req.route);
        if known.is_none() {
            self.routes
                .retain_mut(|r| r.demand_per_s(now) >= MIN_DEMAND);
            if self.routes.len() >= MAX_ROUTES {
                return None;
            }
            self.routes.push(RoomRoute::new(req));
        }
        let route = self.routes.iter_mut().find(|r| r.address == req.route)?;
        route.record_demand(cfg, now, req, view.response_time);
        self.routes.sort_by_key(RoomRoute::rank);
        self.routes.iter().position(|r| r.address == req.route)
    }

    /// Returns the longest wait with which the route and all that are as urgent are in time, at
    /// most that behind full queues.
    fn limit(&mut self, now: MonoTime, index: usize, view: &RoomView) -> Duration {
        let priority = self.routes[index].priority;
        let own = self.routes[index].latency_target;
        let urgent = self.routes.iter_mut().filter(|r| r.priority <= priority);
        let targets = urgent.filter_map(|r| {
            let has_demand = r.demand_per_s(now) >= MIN_DEMAND;
            has_demand.then_some(r.latency_target)
        });
        let target = targets.fold(own, Duration::min);
        let slack = target.saturating_sub(view.response_time);
        let slack = slack.max(view.response_time.mul_f32(MIN_SLACK));
        slack.min(view.full_wait())
    }

    /// Returns the share of a route's demand that fits the capacity.
    fn share(&mut self, cfg: &RoomSettings, now: MonoTime, view: &RoomView, index: usize) -> f32 {
        let demands = self.routes.iter_mut().map(|r| r.demand_per_s(now));
        let demands: Vec<f32> = demands.collect();
        let total: f32 = demands.iter().sum();
        let active = demands.iter().filter(|d| **d >= MIN_DEMAND).count().max(1);
        let floor = cfg.floor_share * view.completed_per_s / active as f32;
        let mut rest_floors: f32 = demands.iter().map(|d| d.min(floor)).sum();
        let mut taken = 0.0;
        let mut first = 0;
        loop {
            // Routes of one rank share what those before them leave.
            let rank = self.routes[first].rank();
            let count = self.routes[first..].iter().take_while(|r| r.rank() == rank);
            let group = first..first + count.count();
            let demand: f32 = demands[group.clone()].iter().sum();
            let floors: f32 = demands[group.clone()].iter().map(|d| d.min(floor)).sum();
            rest_floors -= floors;
            let limit = self.limit(now, first, view);
            let fits = gain(view.wait(), limit) * view.completed_per_s + PROBE_SHARE * total;
            let granted = (fits - taken - rest_floors).clamp(floors, demand.max(floors));
            if group.contains(&index) {
                let least = demands[index].min(floor);
                let above_floors = (granted - floors) / (demand - floors).max(MIN_DEMAND);
                let own = least + above_floors.min(1.0) * (demands[index] - least);
                return (own / demands[index].max(MIN_DEMAND)).min(1.0);
            }
            taken += granted;
            first = group.end;
        }
    }
}

/// Returns the admitted requests relative to the completed ones at a wait beyond free admission.
fn gain(wait: Duration, limit: Duration) -> f32 {
    let position = wait.as_secs_f32() / limit.as_secs_f32().max(f32::EPSILON);
    let progress = (position - FREE_SHARE) / (1.0 - FREE_SHARE);
    (MAX_GAIN - progress * (MAX_GAIN - LIMIT_GAIN)).clamp(0.0, MAX_GAIN)
}
