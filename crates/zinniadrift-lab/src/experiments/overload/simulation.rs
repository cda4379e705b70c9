use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::ids::{ServiceId, ZoneName};
use zinniadrift_core::steering::{
    Cookie, InstanceState, ProbeResult, Revision, Route, RouteKind, RouteTable, Segment,
    SegmentKind, SteeringSettings, TargetInstance, Verdict, WeightedService,
};
use zinniadrift_core::units::MonoTime;

use super::balancer::Balancer;
use super::caller::{Caller, CallerRoute, ROUTES, Request};
use super::event::{BalancerId, Event, RequestId, TargetId};
use super::event_queue::EventQueue;
use super::tally::Ending;
use super::target::{FakeTarget, Reception};
use super::{Fault, Scenario, Tally};

const SERVICE: &str = "simulated";
/// The additional time that a packet takes between two zones.
const ZONE_HOP: Duration = Duration::from_micros(1_400);
/// The time that a packet takes between two hosts.
const HOP: Duration = Duration::from_millis(1);
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
/// The bytes of a response.
const RESPONSE_BYTES: u32 = 1_000;
/// The number of attempts that callers make.
const MAX_ATTEMPTS: u32 = 3;
/// The pause before another attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The standard deviation of the logarithm of the work of a request.
const WORK_SIGMA: f64 = 0.5;
/// The time that a target stays dead, and that all balancers stay dark.
const DEAD_TIME: Duration = Duration::from_secs(4);
const DARK_TIME: Duration = Duration::from_secs(1);
/// The time after which a probe of a dead target fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
const START: MonoTime = MonoTime::from_millis(1_000_000);

/// Runs a scenario; every balancer has the settings `cfg`.
pub fn run(scenario: &Scenario, cfg: &SteeringSettings, seed: u64) -> Tally {
    let mut simulation = Simulation::new(*scenario, cfg.clone(), seed);
    simulation.run();
    simulation.tally
}

struct Simulation {
    scenario: Scenario,
    cfg: SteeringSettings,
    seed: u64,
    rng: Xoshiro256PlusPlus,
    work: LogNormal<f64>,
    now: MonoTime,
    queue: EventQueue<Event>,
    balancers: Vec<Balancer>,
    dark_until: MonoTime,
    targets: Vec<FakeTarget>,
    instances: Vec<TargetInstance>,
    callers: Vec<Caller>,
    requests: Vec<Request>,
    revision: u64,
    tally: Tally,
}

impl Simulation {
    fn new(scenario: Scenario, cfg: SteeringSettings, seed: u64) -> Self {
        let mean = Scenario::MEAN_WORK.as_secs_f64();
        // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        let mu = mean.ln() - WORK_SIGMA * WORK_SIGMA / 2.0;
        let mut simulation = Self {
            scenario,
            cfg,
            seed,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            work: LogNormal::new(mu, WORK_SIGMA).expect("the deviation is finite"),
            now: START,
            queue: EventQueue::default(),
            balancers: Vec::new(),
            dark_until: START,
            targets: (0..scenario.targets).map(|_| FakeTarget::new()).collect(),
            instances: (0..scenario.targets)
                .map(|n| instance(n, scenario.zones))
                .collect(),
            callers: (0..scenario.callers).map(Caller::new).collect(),
            requests: Vec::new(),
            revision: 1,
            tally: Tally::default(),
        };
        simulation.start_balancers();
        for caller in 0..scenario.callers {
            simulation.schedule_arrival(caller);
        }
        simulation.queue.add(START, Event::Confirm);
        if scenario.fault == Some(Fault::DarkSecond) {
            let at = START + Scenario::WARM_UP;
            simulation.queue.add(at, Event::Darkness);
        }
        simulation
    }

    fn start_balancers(&mut self) {
        let start = |n: usize| {
            let seed = self.seed.wrapping_mul(31).wrapping_add(n as u64);
            let targets = self.instances.clone();
            let cfg = SteeringSettings {
                zone: zone_name(n, self.scenario.zones),
                ..self.cfg.clone()
            };
            Balancer::start(cfg, seed, self.now, targets, routes())
        };
        self.balancers = (0..self.scenario.balancers).map(start).collect();
        for balancer in 0..self.scenario.balancers {
            self.queue.add(self.now, Event::Tick { balancer });
        }
    }

    fn burst_start(&self) -> MonoTime {
        START + Scenario::WARM_UP
    }

    fn burst_end(&self) -> MonoTime {
        self.burst_start() + self.scenario.burst
    }

    fn run(&mut self) {
        let end = self.burst_end() + Scenario::RECOVERY;
        let mut fault_is_due = self.scenario.fault == Some(Fault::DeadAndSlowTargets);
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if fault_is_due && at >= self.burst_start() {
                fault_is_due = false;
                self.harm_targets();
            }
            self.on_event(event);
        }
    }

    /// Kills a fifth of the targets and slows down another fifth.
    fn harm_targets(&mut self) {
        let until = self.now + DEAD_TIME;
        let fifth = self.targets.len() / 5;
        for target in &mut self.targets[..fifth] {
            target.crash(until);
        }
        for target in &mut self.targets[fifth..2 * fifth] {
            target.slowness = Scenario::SLOWNESS;
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrival { caller } => self.on_arrival(caller),
            Event::AtBalancer { segment } => self.on_balancer(segment),
            Event::AtTarget { target, segment } => self.on_target(target, segment),
            Event::Accepted { flow, cookie } => self.on_accepted(flow, cookie),
            Event::Answered {
                flow,
                request,
                is_refusal,
            } => self.on_answer(flow, request, is_refusal),
            Event::ResetReceived { flow } => self.on_reset(flow),
            Event::Retransmit {
                flow,
                request,
                count,
            } => self.on_retransmission(flow, request, count),
            Event::Deadline { request } => self.on_deadline(request),
            Event::Acknowledge { flow, ack } => self.on_delayed_ack(flow, ack),
            Event::Finished {
                target,
                flow,
                request,
            } => self.on_finished(target, flow, request),
            Event::Tick { balancer } => self.on_tick(balancer),
            Event::Probed { balancer, target } => self.on_probed(balancer, target),
            Event::Confirm => self.on_confirm(),
            Event::Darkness => {
                self.dark_until = self.now + DARK_TIME;
                self.start_balancers();
            }
        }
    }

    // Callers.

    fn schedule_arrival(&mut self, caller: usize) {
        let in_burst = self.now >= self.burst_start() && self.now < self.burst_end();
        let load = if in_burst {
            self.scenario.burst_load
        } else {
            self.scenario.base_load
        };
        let rate = load * self.scenario.capacity_per_s() / self.scenario.callers as f64;
        let wait = Exp::new(rate).map_or(1.0, |exp| exp.sample(&mut self.rng));
        let mut at = self.now + Duration::from_secs_f64(wait);
        // The rate changes at the start of the burst, so arrivals are drawn anew from there.
        if self.now < self.burst_start() && at > self.burst_start() {
            at = self.burst_start();
        }
        self.queue.add(at, Event::Arrival { caller });
    }

    fn on_arrival(&mut self, caller: usize) {
        self.schedule_arrival(caller);
        let mut point: f64 = self.rng.random();
        let route = ROUTES.iter().position(|route| {
            point -= route.share;
            point < 0.0
        });
        let route = route.unwrap_or(0);
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
        let deadline = self.now + ROUTES[route].timeout;
        self.queue.add(deadline, Event::Deadline { request });
        let idle = self.callers[caller].idle[route].pop();
        match idle {
            Some(flow) => self.send_request(flow, request),
            None => self.open_flow(request),
        }
    }

    fn open_flow(&mut self, request: RequestId) {
        let Request { caller, route, .. } = self.requests[request];
        let flow = self.callers[caller].open(route, request);
        self.requests[request].flow = Some(flow);
        self.requests[request].attempts += 1;
        self.send_open(flow, request, 0);
    }

    fn send_open(&mut self, flow: FlowKey, request: RequestId, count: u32) {
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

    fn send_request(&mut self, flow: FlowKey, request: RequestId) {
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

    fn schedule_retransmission(&mut self, flow: FlowKey, request: RequestId, count: u32) {
        let event = Event::Retransmit {
            flow,
            request,
            count: count + 1,
        };
        let interval = RETRANSMISSION * (1 << count.min(3));
        self.queue.add(self.now + interval, event);
    }

    fn send_data(&mut self, flow: FlowKey, request: RequestId) {
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
    fn is_pending(&self, flow: FlowKey, request: RequestId) -> bool {
        let req = &self.requests[request];
        let state = self.callers[req.caller].flows.get(&flow);
        !req.is_ended && state.is_some_and(|s| s.request == Some(request))
    }

    fn on_retransmission(&mut self, flow: FlowKey, request: RequestId, count: u32) {
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

    fn on_accepted(&mut self, flow: FlowKey, cookie: Cookie) {
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

    fn on_answer(&mut self, flow: FlowKey, request: RequestId, is_refusal: bool) {
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
        state.ack += RESPONSE_BYTES;
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
        if ROUTES[route].keeps_flows {
            self.callers[caller].idle[route].push(flow);
        }
        if is_refusal {
            self.retry(request);
        } else {
            let took = self.now.since(self.requests[request].asked_at);
            let in_time = took <= ROUTES[route].latency_target;
            self.end(request, Ending::Answered { took, in_time });
        }
    }

    fn on_delayed_ack(&mut self, flow: FlowKey, ack: u32) {
        let Some(caller) = self.caller_of(flow) else {
            return;
        };
        let Some(state) = self.callers[caller].flows.get(&flow).copied() else {
            return;
        };
        let is_last = state.request.is_none() && !ROUTES[route_of(flow)].keeps_flows;
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

    fn on_reset(&mut self, flow: FlowKey) {
        let Some(caller) = self.caller_of(flow) else {
            return;
        };
        let Some(state) = self.callers[caller].flows.remove(&flow) else {
            return;
        };
        self.callers[caller].idle[route_of(flow)].retain(|f| *f != flow);
        if let Some(request) = state.request {
            self.retry(request);
        }
    }

    fn retry(&mut self, request: RequestId) {
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

    fn on_deadline(&mut self, request: RequestId) {
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

    fn end(&mut self, request: RequestId, ending: Ending) {
        let req = &mut self.requests[request];
        req.is_ended = true;
        let (route, asked_at) = (ROUTES[req.route].name, req.asked_at);
        if asked_at >= self.burst_start() && asked_at < self.burst_end() {
            let since = asked_at.since(self.burst_start());
            self.tally.record(route, since, ending);
        }
    }

    fn caller_of(&self, flow: FlowKey) -> Option<usize> {
        let first = Ipv4Addr::new(100, 64, 0, 0).to_bits();
        let caller = flow.caller.ip().to_bits().checked_sub(first)? as usize;
        (caller < self.callers.len()).then_some(caller)
    }

    // Balancers.

    fn send(&mut self, segment: Segment) {
        self.queue
            .add(self.now + HOP, Event::AtBalancer { segment });
    }

    fn on_balancer(&mut self, segment: Segment) {
        if self.now < self.dark_until {
            return;
        }
        let balancer = self.balancer_for(segment.flow);
        let verdicts = self.balancers[balancer].on_segment(self.now, segment);
        self.apply(balancer, verdicts);
    }

    /// Returns the balancer of the caller's zone that the routers send a flow to.
    fn balancer_for(&self, flow: FlowKey) -> BalancerId {
        let zones = self.scenario.zones;
        let zone = self.caller_of(flow).unwrap_or(0) % zones;
        let in_zone = (self.balancers.len() - zone).div_ceil(zones).max(1);
        let nth = flow.hash64() as usize % in_zone;
        (zone + nth * zones) % self.balancers.len()
    }

    fn on_tick(&mut self, balancer: BalancerId) {
        if self.now < self.balancers[balancer].next_tick {
            return;
        }
        let verdicts = self.balancers[balancer].tick(self.now);
        self.apply(balancer, verdicts);
    }

    fn apply(&mut self, balancer: BalancerId, verdicts: Vec<(Segment, Verdict)>) {
        for (segment, verdict) in verdicts {
            match verdict {
                Verdict::Forward { to, cookie, .. } => {
                    let segment = Segment { cookie, ..segment };
                    let target = self.instances.iter().position(|t| t.address == to);
                    if let Some(target) = target {
                        let event = Event::AtTarget { target, segment };
                        let zones = self.scenario.zones;
                        let is_near = balancer % zones == target % zones;
                        let hop = if is_near { HOP } else { HOP + ZONE_HOP };
                        self.queue.add(self.now + hop, event);
                    }
                }
                Verdict::Reset { .. } => self.reset_caller(segment.flow),
                Verdict::Hold | Verdict::Drop(_) => {}
            }
        }
        let state = &mut self.balancers[balancer];
        for probe in state.core.take_probes() {
            let target = self.instances.iter().position(|t| t.name == probe.name);
            if let Some(target) = target {
                let event = Event::Probed { balancer, target };
                self.queue.add(self.now + PROBE_TIMEOUT, event);
            }
        }
        state.core.take_decisions().for_each(drop);
        state.core.take_response_times().for_each(drop);
        let next = state.core.next_tick();
        if next < state.next_tick || state.next_tick <= self.now {
            state.next_tick = next;
            self.queue.add(next, Event::Tick { balancer });
        }
    }

    fn reset_caller(&mut self, flow: FlowKey) {
        self.queue
            .add(self.now + HOP, Event::ResetReceived { flow });
    }

    fn on_probed(&mut self, balancer: BalancerId, target: TargetId) {
        let result = if self.targets[target].is_dead(self.now) {
            ProbeResult::TimedOut
        } else {
            ProbeResult::Accepted
        };
        let name = self.instances[target].name.clone();
        let core = &mut self.balancers[balancer].core;
        for reset in core.on_probe(self.now, &name, result) {
            self.reset_caller(reset.flow);
        }
    }

    fn on_confirm(&mut self) {
        self.revision += 1;
        let as_of = Revision::from(self.revision);
        for balancer in &mut self.balancers {
            let core = &mut balancer.core;
            core.on_changes(self.now, self.now, Vec::new(), as_of);
            core.confirm_routes(self.now, as_of);
        }
        self.queue.add(self.now + CONFIRM_INTERVAL, Event::Confirm);
    }

    // Targets.

    fn on_target(&mut self, target: TargetId, seg: Segment) {
        if self.targets[target].is_dead(self.now) {
            return;
        }
        match seg.kind {
            SegmentKind::Open { .. } => {
                self.targets[target].flows.entry(seg.flow).or_insert(0);
                let (flow, cookie) = (seg.flow, seg.cookie);
                self.queue
                    .add(self.now + HOP, Event::Accepted { flow, cookie });
            }
            SegmentKind::Close | SegmentKind::Reset => {
                self.targets[target].flows.remove(&seg.flow);
            }
            SegmentKind::Established if seg.len == 0 => {}
            SegmentKind::Established => self.on_request(target, seg),
        }
    }

    fn on_request(&mut self, target: TargetId, seg: Segment) {
        let Some(received) = self.targets[target].flows.get_mut(&seg.flow) else {
            self.reset_caller(seg.flow);
            return;
        };
        if seg.end() <= *received {
            // A retransmission.
            return;
        }
        *received = seg.end();
        let caller = self.caller_of(seg.flow);
        let state = caller.and_then(|c| self.callers[c].flows.get(&seg.flow));
        let Some(request) = state.and_then(|s| s.request) else {
            return;
        };
        match self.targets[target].receive(seg.flow, request) {
            Reception::Started => self.start_work(target, seg.flow, request),
            Reception::Queued => {}
            Reception::Shed(flow, request) => self.answer(flow, request, true),
        }
    }

    fn start_work(&mut self, target: TargetId, flow: FlowKey, request: RequestId) {
        let took = self.targets[target].service_time(self.requests[request].work);
        let event = Event::Finished {
            target,
            flow,
            request,
        };
        self.queue.add(self.now + took, event);
    }

    fn on_finished(&mut self, target: TargetId, flow: FlowKey, request: RequestId) {
        if self.targets[target].is_dead(self.now) {
            return;
        }
        self.answer(flow, request, false);
        if let Some((flow, request)) = self.targets[target].finish() {
            self.start_work(target, flow, request);
        }
    }

    fn answer(&mut self, flow: FlowKey, request: RequestId, is_refusal: bool) {
        let event = Event::Answered {
            flow,
            request,
            is_refusal,
        };
        self.queue.add(self.now + HOP, event);
    }
}

fn route_of(flow: FlowKey) -> usize {
    let route = ROUTES.iter().position(|r| r.address == flow.service);
    route.unwrap_or(0)
}

fn zone_name(number: usize, zones: usize) -> ZoneName {
    format!("zone-{}", number % zones).as_str().into()
}

fn instance(number: usize, zones: usize) -> TargetInstance {
    let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
    TargetInstance {
        name: format!("i-{number:010x}").into(),
        service: ServiceId::from_name(SERVICE),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, last), 8_080),
        zone: zone_name(number, zones),
        instance_id: (number as u64 + 1).into(),
        slots: Scenario::SLOTS,
        state: InstanceState::Ready,
        warm_up: Duration::ZERO,
        started_at_ms: None,
    }
}

fn routes() -> Arc<RouteTable> {
    let route = |r: &CallerRoute| Route {
        name: r.name.into(),
        address: r.address,
        services: vec![WeightedService {
            service: ServiceId::from_name(SERVICE),
            weight: 1,
        }],
        kind: if r.keeps_flows {
            RouteKind::Idempotent
        } else {
            RouteKind::NonIdempotent
        },
        priority: r.priority,
        latency_target: Some(r.latency_target),
        timeout: Some(r.timeout),
    };
    let routes = ROUTES.iter().map(route).collect();
    Arc::new(RouteTable::new(1.into(), Duration::from_secs(15), routes))
}
