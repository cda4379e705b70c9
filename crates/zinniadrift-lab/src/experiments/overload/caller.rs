use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::Cookie;
use zinniadrift_core::units::MonoTime;

use super::event::RequestId;

/// A route of the simulated user.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerRoute {
    /// Its name.
    pub name: &'static str,
    /// The service address that callers use.
    pub address: SocketAddrV4,
    /// The priority of its requests; 0 is the highest.
    pub priority: u8,
    /// The response time that callers aim for.
    pub latency_target: Duration,
    /// The time after which callers give up.
    pub timeout: Duration,
    /// Its share of all requests.
    pub share: f64,
    /// Whether callers keep flows open for further requests.
    pub keeps_flows: bool,
}

const fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

/// The routes: a stream of queries and orders on flows that stay open, and single requests.
pub const LONG_FLOWS: [CallerRoute; 3] = [
    CallerRoute {
        name: "query",
        address: address(443),
        priority: 2,
        latency_target: Duration::from_millis(200),
        timeout: Duration::from_millis(1_200),
        share: 0.7,
        keeps_flows: true,
    },
    CallerRoute {
        name: "order",
        address: address(8_080),
        priority: 1,
        latency_target: Duration::from_millis(250),
        timeout: Duration::from_millis(1_500),
        share: 0.2,
        keeps_flows: true,
    },
    CallerRoute {
        name: "single",
        address: address(8_443),
        priority: 2,
        latency_target: Duration::from_millis(200),
        timeout: Duration::from_millis(1_500),
        share: 0.1,
        keeps_flows: false,
    },
];

/// Routes of single requests: urgent ones, less urgent ones, and uploads that are as urgent as these
/// but have much time.
pub const SINGLE_REQUESTS: [CallerRoute; 3] = [
    CallerRoute {
        name: "urgent",
        address: address(443),
        priority: 0,
        latency_target: Duration::from_millis(400),
        timeout: Duration::from_millis(3_000),
        share: 0.3,
        keeps_flows: false,
    },
    CallerRoute {
        name: "usual",
        address: address(8_080),
        priority: 1,
        latency_target: Duration::from_millis(400),
        timeout: Duration::from_millis(4_000),
        share: 0.4,
        keeps_flows: false,
    },
    CallerRoute {
        name: "upload",
        address: address(8_443),
        priority: 1,
        latency_target: Duration::from_millis(1_200),
        timeout: Duration::from_millis(10_000),
        share: 0.3,
        keeps_flows: false,
    },
];

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) caller: usize,
    pub(super) route: usize,
    pub(super) asked_at: MonoTime,
    /// The time that a target needs for it.
    pub(super) work: Duration,
    /// The flow of the present attempt.
    pub(super) flow: Option<FlowKey>,
    pub(super) attempts: u32,
    pub(super) is_ended: bool,
}

/// The caller's end of a flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerFlow {
    pub(super) cookie: Option<Cookie>,
    pub(super) is_open: bool,
    /// The request that waits for its answer.
    pub(super) request: Option<RequestId>,
    pub(super) seq: u32,
    pub(super) ack: u32,
}

/// A caller with its flows.
#[derive(Debug)]
pub(super) struct Caller {
    ip: Ipv4Addr,
    next_port: u16,
    pub(super) flows: HashMap<FlowKey, CallerFlow>,
    /// The open flows without a request, by route; the one used last is used first.
    pub(super) idle: Vec<Vec<FlowKey>>,
}

impl Caller {
    pub(super) fn new(number: usize, routes: usize) -> Self {
        let number = number as u32;
        Self {
            ip: Ipv4Addr::from_bits(Ipv4Addr::new(100, 64, 0, 0).to_bits() + number),
            next_port: 1_024,
            flows: HashMap::new(),
            idle: vec![Vec::new(); routes],
        }
    }

    /// Adds a flow that opens for a request.
    pub(super) fn open(&mut self, service: SocketAddrV4, request: RequestId) -> FlowKey {
        self.next_port += 1;
        let flow = FlowKey {
            caller: SocketAddrV4::new(self.ip, self.next_port),
            service,
        };
        let state = CallerFlow {
            cookie: None,
            is_open: false,
            request: Some(request),
            seq: 1,
            ack: 1,
        };
        self.flows.insert(flow, state);
        flow
    }
}
