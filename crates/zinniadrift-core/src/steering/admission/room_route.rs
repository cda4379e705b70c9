use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::units::MonoTime;

use super::caller_ledger::REFUSAL_MEMORY;
use super::{CallerLedger, RefusalCause, RoomAnswer, RoomRequest, RoomSettings, WindowCount};

/// The demand of a route for room, and what it got of it.
#[derive(Clone, Debug)]
pub(crate) struct RoomRoute {
    pub(crate) address: SocketAddrV4,
    pub(crate) priority: u8,
    pub(crate) latency_target: Duration,
    /// Whether its flows can wait for their callers' retransmissions.
    is_patient: bool,
    /// The part of the last flow's demand that is its caller's fair share.
    fair_part: f32,
    /// The requests of the flows that asked for room.
    demand: WindowCount,
    /// The part of them that is the fair share of their callers.
    fair_demand: WindowCount,
    /// The flows that may be admitted now. It grows by the route's share with each flow that asks,
    /// and falls by one with each that is admitted.
    credit: f32,
    callers: CallerLedger,
    /// When the flows retransmit that were left unanswered.
    waiting: VecDeque<MonoTime>,
}

/// The length of a window of the demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// The credit from which a caller with more than its share is admitted; it is reached only if
/// nobody else uses the room. It also bounds the credit.
const CREDIT_ABOVE_SHARE: f32 = 2.0;
/// The credit from which other callers are admitted.
const CREDIT_NEW: f32 = 1.0;
/// The credit from which a caller is admitted that was refused just now; one that was refused
/// earlier is admitted from a lower credit, by 1 after [`REFUSAL_MEMORY`].
const CREDIT_REFUSED: f32 = 0.75;
/// The credit from which a flow is admitted that waited for its caller's retransmission.
const CREDIT_WAITED: f32 = -0.5;
/// The lowest credit.
const MIN_CREDIT: f32 = -1.5;
/// The maximum number of flows that are left unanswered at one time.
const MAX_WAITING: usize = 256;

impl RoomRoute {
    pub(crate) fn new(req: &RoomRequest) -> Self {
        Self {
            address: req.route,
            priority: req.priority,
            latency_target: req.latency_target,
            is_patient: false,
            fair_part: 1.0,
            demand: WindowCount::new(DEMAND_WINDOW),
            fair_demand: WindowCount::new(DEMAND_WINDOW),
            credit: CREDIT_NEW,
            callers: CallerLedger::default(),
            waiting: VecDeque::new(),
        }
    }

    /// Returns the order in which routes get room: by priority, and in it those first that cannot
    /// wait. Routes of the same rank get the same share of their demand.
    pub(crate) fn rank(&self) -> (u8, bool) {
        (self.priority, self.is_patient)
    }

    /// Records that a flow asks for room; its retransmissions do not ask again.
    pub(crate) fn record_demand(
        &mut self,
        cfg: &RoomSettings,
        now: MonoTime,
        req: &RoomRequest,
        response_time: Duration,
    ) {
        self.priority = req.priority;
        self.latency_target = req.latency_target;
        self.is_patient = req.is_patient(response_time);
        self.fair_part = if cfg.fair_by_caller {
            self.callers.fair_part(now, req.caller)
        } else {
            1.0
        };
        if req.retransmissions == 0 {
            self.demand.add(now, req.requests_per_flow);
            let fair = req.requests_per_flow * self.fair_part;
            self.fair_demand.add(now, fair);
        }
    }

    /// Returns the requests per second that flows of the route would bring.
    pub(crate) fn demand_per_s(&mut self, now: MonoTime) -> f32 {
        self.demand.per_second(now)
    }

    /// Admits a flow while there is room for all.
    pub(crate) fn admit_freely(&mut self, now: MonoTime, req: &RoomRequest) {
        self.credit = CREDIT_NEW;
        self.callers.record_admitted(now, req.caller);
    }

    /// Refuses a flow.
    pub(crate) fn refuse(
        &mut self,
        now: MonoTime,
        req: &RoomRequest,
        cause: RefusalCause,
    ) -> RoomAnswer {
        self.callers.record_refused(now, req.caller);
        RoomAnswer::Refused(cause)
    }

    /// Decides on a flow while the route gets `share` of its demand.
    pub(crate) fn admit_share(
        &mut self,
        now: MonoTime,
        req: &RoomRequest,
        share: f32,
    ) -> RoomAnswer {
        if share >= 1.0 {
            self.admit_freely(now, req);
            return RoomAnswer::Admitted;
        }
        let flows_per_s = share * self.demand.per_second(now) / req.requests_per_flow.max(1.0);
        if req.retransmissions == 0 {
            // What callers beyond their share do not get is there for the others.
            let fair_demand = self.fair_demand.per_second(now).max(f32::EPSILON);
            let fair_share = (share * self.demand.per_second(now) / fair_demand).min(1.0);
            self.credit = (self.credit + fair_share * self.fair_part).min(CREDIT_ABOVE_SHARE);
        }
        let exceeds = self.fair_part < 1.0;
        let needed = if req.retransmissions > 0 {
            CREDIT_WAITED
        } else if exceeds {
            CREDIT_ABOVE_SHARE
        } else {
            let refused_for = self.callers.refused_for(now, req.caller);
            refused_for.map_or(CREDIT_NEW, |d| {
                CREDIT_REFUSED - d.as_secs_f32() / REFUSAL_MEMORY.as_secs_f32()
            })
        };
        if self.credit >= needed {
            self.credit = (self.credit - 1.0).max(MIN_CREDIT);
            self.callers.record_admitted(now, req.caller);
            return RoomAnswer::Admitted;
        }
        if !exceeds && self.is_patient && self.may_wait(now, req, flows_per_s) {
            return RoomAnswer::Waits;
        }
        let cause = if exceeds {
            RefusalCause::CallerShare
        } else {
            RefusalCause::RouteShare
        };
        self.refuse(now, req, cause)
    }

    /// Lets a flow wait for its caller's next opening packet if the room that its route gets until
    /// then suffices for it and for those that wait already.
    fn may_wait(&mut self, now: MonoTime, req: &RoomRequest, flows_per_s: f32) -> bool {
        let Some(interval) = req.next_retransmission() else {
            return false;
        };
        self.waiting.retain(|due| *due > now);
        let expected = flows_per_s * interval.as_secs_f32();
        let ahead = self.waiting.len();
        if ahead >= MAX_WAITING || expected < (ahead + 1) as f32 {
            return false;
        }
        self.waiting.push_back(now + interval);
        true
    }
}
