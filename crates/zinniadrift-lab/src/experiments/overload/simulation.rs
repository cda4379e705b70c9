use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_distr::LogNormal;
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::ids::{ServiceId, ZoneName};
use zinniadrift_core::steering::{
    InstanceState, Route, RouteKind, RouteTable, SteeringSettings, TargetInstance, WeightedService,
};
use zinniadrift_core::units::MonoTime;

use super::balancer::Balancer;
use super::caller::{Caller, CallerRoute, Request};
use super::event::Event;
use super::event_queue::EventQueue;
use super::target::FakeTarget;
use super::{Fault, Scenario, Tally};

const SERVICE: &str = "simulated";
/// The time that a packet takes between two hosts.
pub(super) const HOP: Duration = Duration::from_millis(1);
/// The standard deviation of the logarithm of the work of a request.
const WORK_SIGMA: f64 = 0.5;
/// The time that a target stays dead, and that all balancers stay dark.
const DEAD_TIME: Duration = Duration::from_secs(4);
const DARK_TIME: Duration = Duration::from_secs(1);
const START: MonoTime = MonoTime::from_millis(1_000_000);

/// Runs a scenario; every balancer has the settings `cfg`.
pub fn run(scenario: &Scenario, cfg: &SteeringSettings, seed: u64) -> Tally {
    let mut simulation = Simulation::new(*scenario, cfg.clone(), seed);
    simulation.run();
    simulation.tally
}

/// Runs a scenario like [`run`] and returns the decisions of all balancers, one a line with the time
/// in microseconds and the number of the balancer.
pub fn decision_log(scenario: &Scenario, cfg: &SteeringSettings, seed: u64) -> Vec<String> {
    let mut simulation = Simulation::new(*scenario, cfg.clone(), seed);
    simulation.decisions = Some(Vec::new());
    simulation.run();
    simulation.decisions.unwrap_or_default()
}

/// The state of a run; the other files of this folder process its events.
pub(super) struct Simulation {
    pub(super) scenario: Scenario,
    pub(super) cfg: SteeringSettings,
    seed: u64,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) work: LogNormal<f64>,
    pub(super) now: MonoTime,
    pub(super) queue: EventQueue<Event>,
    pub(super) balancers: Vec<Balancer>,
    pub(super) dark_until: MonoTime,
    pub(super) targets: Vec<FakeTarget>,
    pub(super) instances: Vec<TargetInstance>,
    pub(super) callers: Vec<Caller>,
    pub(super) requests: Vec<Request>,
    pub(super) revision: u64,
    pub(super) tally: Tally,
    /// The lines of the decision log, if it is wanted.
    pub(super) decisions: Option<Vec<String>>,
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
            callers: (0..scenario.callers)
                .map(|n| Caller::new(n, scenario.routes.len()))
                .collect(),
            requests: Vec::new(),
            revision: 1,
            tally: Tally::default(),
            decisions: None,
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

    pub(super) fn start_balancers(&mut self) {
        let start = |n: usize| {
            let seed = self.seed.wrapping_mul(31).wrapping_add(n as u64);
            let targets = self.instances.clone();
            let cfg = SteeringSettings {
                zone: zone_name(n, self.scenario.zones),
                ..self.cfg.clone()
            };
            Balancer::start(cfg, seed, self.now, targets, routes(self.scenario.routes))
        };
        self.balancers = (0..self.scenario.balancers).map(start).collect();
        for balancer in 0..self.scenario.balancers {
            self.queue.add(self.now, Event::Tick { balancer });
        }
    }

    pub(super) fn burst_start(&self) -> MonoTime {
        START + Scenario::WARM_UP
    }

    pub(super) fn burst_end(&self) -> MonoTime {
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
        is_warm_up_unknown: false,
        started_at_ms: None,
    }
}

fn routes(routes: &[CallerRoute]) -> Arc<RouteTable> {
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
    let routes = routes.iter().map(route).collect();
    Arc::new(RouteTable::new(1.into(), Duration::from_secs(15), routes))
}
