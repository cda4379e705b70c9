//! The callers: requests, retransmissions, retries and acknowledgements.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::RngExt;
use rand_distr::{Distribution, Exp};

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::{Cookie, Segment, SegmentKind};

use super::caller::Request;
use super::event::{Event, RequestId};
use super::simulation::Simulation;
use super::tally::Ending;

/// The time after which callers retransmit an opening packet, counted from the first.
const OPEN_RETRANSMISSIONS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];
/// The time after which callers give up opening a flow.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
/// The first retransmission interval of requests; it doubles with each.
const RETRANSMISSION: Duration = Duration::from_millis(200);
/// The delay of the acknowledgement of a response that takes one packet.
const ACK_DELAY: Duration = Duration::from_millis(40);
/// The share of responses that take one packet.
const ONE_PACKET_SHARE: f64 = 0.6;
/// The bytes of a request.
const REQUEST_BYTES: u16 = 300;
/// The bytes of the shortest response, and the difference between the sizes.
const MIN_RESPONSE_BYTES: u32 = 200;
const RESPONSE_SIZE_STEP: u32 = 400;
/// The number of sizes of responses.
const RESPONSE_SIZES: usize = 7;
/// The bytes of the refusal of a target.
const REFUSAL_BYTES: u32 = 60;
/// The number of attempts that callers make.
const MAX_ATTEMPTS: u32 = 3;
/// The pause before another attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

impl Simulation {
    pub(super) fn schedule_arrival(&mut self, caller: usize) {
        let in_burst = self.now >= self.burst_start() && self.now < self.burst_end();
        let load = if in_burst {
            self.scenario.burst_load
        } else {
            self.scenario.base_load
        };
        let (factor, total) = self.scenario.caller_share(caller);
        let rate = load * self.scenario.capacity_per_s() * factor / total;
        let wait = Exp::new(rate).map_or(1.0, |exp| exp.sample(&mut self.rng));
        let mut at = self.now + Duration::from_secs_f64(wait);
        // The rate changes at the start of the burst, so arrivals are drawn anew from there.
        if self.now < self.burst_start() && at > self.burst_start() {
            at = self.burst_start();
        }
        self.queue.add(at, Event::Arrival { caller });
    }

    pub(super) fn on_arrival(&mut self, caller: usize) {
        self.schedule_arrival(caller);
        let mut point: f64 = self.rng.random();
        let route = self.scenario.routes.iter().position(|route| {
            point -= route.share;
            point < 0.0
        });
        let route = self.burst_route().or(route).unwrap_or(0);
        let request = self.requests.len();
        let work = Duration::from_secs_f64(self.work.sample(&mut self.rng));
        self.requests.push(Request {
            caller,
            route,
            asked_at: self.now,
            work,
            flow: None,
            attempts: 0,
            is_ended: false,
        });
        let deadline = self.now + self.scenario.routes[route].timeout;
        self.queue.add(deadline, Event::Deadline { request });
        let idle = self.callers[caller].idle[route].pop();
        match idle {
            Some(flow) => self.send_request(flow, request),
            None => self.open_flow(request),
        }
    }

    pub(super) fn open_flow(&mut self, request: RequestId) {
        let Request { caller, route, .. } = self.requests[request];
        let flow = self.callers[caller].open(self.scenario.routes[route].address, request);
        self.requests[request].flow = Some(flow);
        self.requests[request].attempts += 1;
        self.send_open(flow, request, 0);
    }

    pub(super) fn send_open(&mut self, flow: FlowKey, request: RequestId, count: u32) {
        let kind = SegmentKind::Open {
            retransmissions: count,
        };
        self.send(Segment {
            flow,
            kind,
            cookie: Cookie::NONE,
            seq: 0,
            ack: count,
            len: 0,
        });
        let first_sent = self.now
            - OPEN_RETRANSMISSIONS[..count as usize]
                .last()
                .map_or(Duration::ZERO, |d| *d);
        let next = OPEN_RETRANSMISSIONS.get(count as usize).copied();
        let at = first_sent + next.unwrap_or(OPEN_TIMEOUT);
        let count = count + 1;
        let event = Event::Retransmit {
            flow,
            request,
            count,
        };
        self.queue.add(at, event);
    }

    pub(super) fn send_request(&mut self, flow: FlowKey, request: RequestId) {
        let caller = self.requests[request].caller;
        if self.requests[request].flow != Some(flow) {
            self.requests[request].flow = Some(flow);
            self.requests[request].attempts += 1;
        }
        if let Some(state) = self.callers[caller].flows.get_mut(&flow) {
            state.request = Some(request);
        }
        self.send_data(flow, request);
        self.schedule_retransmission(flow, request, 0);
    }

    pub(super) fn schedule_retransmission(
        &mut self,
        flow: FlowKey,
        request: RequestId,
        count: u32,
    ) {
        let event = Event::Retransmit {
            flow,
            request,
            count: count + 1,
        };
        let interval = RETRANSMISSION * (1 << count.min(3));
        self.queue.add(self.now + interval, event);
    }

    pub(super) fn send_data(&mut self, flow: FlowKey, request: RequestId) {
        let caller = self.requests[request].caller;
        let Some(state) = self.callers[caller].flows.get(&flow).copied() else {
            return;
        };
        self.send(Segment {
            flow,
            kind: SegmentKind::Established,
            cookie: state.cookie.unwrap_or(Cookie::NONE),
            seq: state.seq,
            ack: state.ack,
            len: REQUEST_BYTES,
        });
    }

    /// Returns whether the request still waits for its answer on the flow.
    pub(super) fn is_pending(&self, flow: FlowKey, request: RequestId) -> bool {
        let req = &self.requests[request];
        let state = self.callers[req.caller].flows.get(&flow);
        !req.is_ended && state.is_some_and(|s| s.request == Some(request))
    }

    pub(super) fn on_retransmission(&mut self, flow: FlowKey, request: RequestId, count: u32) {
        if !self.is_pending(flow, request) {
            return;
        }
        let caller = self.requests[request].caller;
        if self.callers[caller].flows[&flow].is_open {
            self.send_data(flow, request);
            self.schedule_retransmission(flow, request, count);
        } else if (count as usize) <= OPEN_RETRANSMISSIONS.len() {
            self.send_open(flow, request, count);
        } else {
            self.callers[caller].flows.remove(&flow);
            self.retry(request);
        }
    }

    pub(super) fn on_accepted(&mut self, flow: FlowKey, cookie: Cookie) {
        let Some(caller) = self.caller_of(flow) else {
            return;
        };
        let Some(state) = self.callers[caller].flows.get_mut(&flow) else {
            return;
        };
        if state.is_open {
            return;
        }
        state.is_open = true;
        state.cookie = Some(cookie);
        if let Some(request) = state.request {
            self.send_request(flow, request);
        }
    }

    pub(super) fn on_answer(&mut self, flow: FlowKey, request: RequestId, is_refusal: bool) {
        let Some(caller) = self.caller_of(flow) else {
            return;
        };
        let Some(state) = self.callers[caller].flows.get_mut(&flow) else {
            return;
        };
        if state.request != Some(request) {
            return;
        }
        state.request = None;
        state.seq += u32::from(REQUEST_BYTES);
        state.ack += if is_refusal {
            REFUSAL_BYTES
        } else {
            response_bytes(request)
        };
        let ack = state.ack;
        let is_late_ack = self.rng.random::<f64>() < ONE_PACKET_SHARE;
        let delay = if is_late_ack {
            ACK_DELAY
        } else {
            Duration::ZERO
        };
        self.queue
            .add(self.now + delay, Event::Acknowledge { flow, ack });
        let route = self.requests[request].route;
        if self.scenario.routes[route].keeps_flows {
            self.callers[caller].idle[route].push(flow);
        }
        if is_refusal {
            self.retry(request);
        } else {
            let took = self.now.since(self.requests[request].asked_at);
            let in_time = took <= self.scenario.routes[route].latency_target;
            self.end(request, Ending::Answered { took, in_time });
        }
    }

    pub(super) fn on_delayed_ack(&mut self, flow: FlowKey, ack: u32) {
        let Some(caller) = self.caller_of(flow) else {
            return;
        };
        let Some(state) = self.callers[caller].flows.get(&flow).copied() else {
            return;
        };
        let route = self.scenario.routes[self.route_of(flow)];
        let is_last = state.request.is_none() && !route.keeps_flows;
        // The next request carries the acknowledgement.
        if state.ack != ack || (state.request.is_some() && !is_last) {
            return;
        }
        let kind = if is_last {
            self.callers[caller].flows.remove(&flow);
            SegmentKind::Close
        } else {
            SegmentKind::Established
        };
        self.send(Segment {
            flow,
            kind,
            cookie: state.cookie.unwrap_or(Cookie::NONE),
            seq: state.seq,
            ack,
            len: 0,
        });
    }

    pub(super) fn on_reset(&mut self, flow: FlowKey) {
        let Some(caller) = self.caller_of(flow) else {
            return;
        };
        let Some(state) = self.callers[caller].flows.remove(&flow) else {
            return;
        };
        let route = self.route_of(flow);
        self.callers[caller].idle[route].retain(|f| *f != flow);
        if let Some(request) = state.request {
            self.retry(request);
        }
    }

    pub(super) fn retry(&mut self, request: RequestId) {
        if self.requests[request].is_ended {
            return;
        }
        if self.requests[request].attempts >= MAX_ATTEMPTS {
            self.end(request, Ending::Refused);
            return;
        }
        // The pause is part of the time that the new flow takes to open.
        self.now = self.now + RETRY_PAUSE;
        self.open_flow(request);
        self.now = self.now - RETRY_PAUSE;
    }

    pub(super) fn on_deadline(&mut self, request: RequestId) {
        let req = self.requests[request];
        if req.is_ended {
            return;
        }
        if let Some(flow) = req.flow
            && let Some(state) = self.callers[req.caller].flows.remove(&flow)
        {
            self.send(Segment {
                flow,
                kind: SegmentKind::Reset,
                cookie: state.cookie.unwrap_or(Cookie::NONE),
                seq: state.seq,
                ack: state.ack,
                len: 0,
            });
        }
        self.end(request, Ending::Unanswered);
    }

    pub(super) fn end(&mut self, request: RequestId, ending: Ending) {
        let req = &mut self.requests[request];
        req.is_ended = true;
        let (caller, asked_at) = (req.caller, req.asked_at);
        let route = self.scenario.routes[req.route].name;
        if asked_at >= self.burst_start() && asked_at < self.burst_end() {
            let since = asked_at.since(self.burst_start());
            self.tally.record(route, caller, since, ending);
        }
    }

    pub(super) fn caller_of(&self, flow: FlowKey) -> Option<usize> {
        let first = Ipv4Addr::new(100, 64, 0, 0).to_bits();
        let caller = flow.caller.ip().to_bits().checked_sub(first)? as usize;
        (caller < self.callers.len()).then_some(caller)
    }

    fn route_of(&self, flow: FlowKey) -> usize {
        let mut routes = self.scenario.routes.iter();
        let route = routes.position(|r| r.address == flow.service);
        route.unwrap_or(0)
    }

    /// Returns the route of a request of the burst, if one route causes it.
    fn burst_route(&mut self) -> Option<usize> {
        let route = self.scenario.burst_route?;
        if self.now < self.burst_start() || self.now >= self.burst_end() {
            return None;
        }
        let usual = self.scenario.base_load / self.scenario.burst_load;
        (self.rng.random::<f64>() >= usual).then_some(route)
    }
}

/// Returns the size of the response to a request: sizes differ, without a random number.
fn response_bytes(request: RequestId) -> u32 {
    MIN_RESPONSE_BYTES + (request % RESPONSE_SIZES) as u32 * RESPONSE_SIZE_STEP
}
