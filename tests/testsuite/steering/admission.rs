//! Checks when requests on open flows go to their target, each test under the load that a rule is
//! meant for.

use std::time::Duration;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::{
    Cookie, ProbeResult, ResetReason, Route, RouteKind, Segment, SegmentKind, Verdict,
};

use super::world::{STREAM, World, flow, forwarded, packet, reset_reason, route, table, target};

/// The response time of a target without a queue.
const USUAL_MS: u64 = 40;
/// The response time of a target with a full queue.
const CONGESTED_MS: u64 = 240;
/// The route's latency target.
const LATENCY_TARGET_MS: u64 = 200;

/// Flows to one target, each with the number of response bytes that its caller has received.
struct Callers {
    w: World,
    cookie: Cookie,
    acks: Vec<u32>,
}

fn routes() -> Vec<Route> {
    let stream = Route {
        latency_target: Some(Duration::from_millis(LATENCY_TARGET_MS)),
        timeout: Some(Duration::from_millis(1_200)),
        ..route(STREAM, RouteKind::Idempotent)
    };
    vec![stream]
}

impl Callers {
    /// Opens `flows` flows to a single target.
    fn new(flows: u16) -> Self {
        let mut w = World::new(1, vec![target(1)]);
        w.configure(2, routes());
        let mut cookie = Cookie::NONE;
        for port in 0..flows {
            cookie = w.establish(port, STREAM).1;
        }
        Self {
            w,
            cookie,
            acks: vec![1; usize::from(flows)],
        }
    }

    fn segment(&self, port: u16) -> Segment {
        let requests = self.acks[usize::from(port)];
        Segment {
            len: 300,
            seq: requests * 300,
            ack: requests,
            ..packet(flow(port, STREAM), SegmentKind::Established, self.cookie)
        }
    }

    /// Sends a request and returns whether it waits.
    fn request_waits(&mut self, port: u16) -> bool {
        match self.w.core.on_segment(self.w.now, &self.segment(port)) {
            Verdict::Hold => true,
            verdict => {
                forwarded(verdict);
                false
            }
        }
    }

    /// Acknowledges the response to a flow's request.
    fn respond(&mut self, port: u16) {
        let ack = &mut self.acks[usize::from(port)];
        *ack += 1;
        let ack = *ack;
        self.w.acknowledge(port, STREAM, self.cookie, ack);
    }

    /// Sends requests on the first `flows` flows at once and responds to all after `ms`.
    fn round(&mut self, flows: u16, ms: u64) -> usize {
        let waiting = (0..flows).filter(|p| self.request_waits(*p)).count();
        self.w.advance_clock(ms);
        self.w.core.tick(self.w.now);
        for port in 0..flows {
            self.respond(port);
        }
        self.replay();
        waiting
    }

    /// Learns the usual response time, then meets a target whose queue is full.
    fn congested(flows: u16) -> Self {
        let mut callers = Self::new(flows);
        for _ in 0..40 {
            assert_eq!(
                callers.round(2, USUAL_MS),
                0,
                "nothing waits at normal load"
            );
        }
        for _ in 0..4 {
            callers.round(12, CONGESTED_MS);
        }
        callers.w.core.admit_all(callers.w.now);
        for port in callers.replay() {
            callers.respond(port);
        }
        callers
    }

    /// Passes the packets of admitted requests to the core again, and returns their ports.
    fn replay(&mut self) -> Vec<u16> {
        let flows: Vec<FlowKey> = self.w.core.take_admitted();
        let ports: Vec<u16> = flows.iter().map(|f| f.caller.port()).collect();
        for port in &ports {
            let seg = self.segment(*port);
            forwarded(self.w.core.on_segment(self.w.now, &seg));
        }
        ports
    }

    /// Sends requests until one waits; returns the flows whose requests went on.
    fn fill(&mut self, ports: std::ops::Range<u16>) -> Vec<u16> {
        let mut sent = Vec::new();
        for port in ports {
            if self.request_waits(port) {
                return sent;
            }
            sent.push(port);
        }
        panic!("no request waits");
    }
}

/// Guards against waiting without need: many requests at once on a target that responds as usual.
#[test]
fn no_request_waits_without_congestion() {
    let mut callers = Callers::new(12);
    for _ in 0..60 {
        assert_eq!(callers.round(12, USUAL_MS), 0);
    }
    assert_eq!(callers.w.core.counters().requests_held, 0);
}

/// Guards against a burst that fills a target's queue, so that every request is late.
#[test]
fn requests_wait_for_a_congested_target() {
    let mut callers = Callers::congested(30);
    let sent = callers.fill(12..20);
    assert!(sent.len() <= 6, "{sent:?}");
}

/// Guards against serving requests in the order of their arrival in a burst: the oldest would take
/// the room only to be late.
#[test]
fn newest_request_goes_first() {
    let mut callers = Callers::congested(30);
    let sent = callers.fill(12..20);
    for port in 20..24 {
        callers.w.advance_clock(5);
        assert!(callers.request_waits(port));
    }
    callers.respond(sent[0]);
    assert_eq!(callers.replay().first(), Some(&23));
}

/// Guards against an urgent request that waits behind newer ones that are not.
#[test]
fn urgent_route_goes_first() {
    const URGENT: &str = "198.18.0.3:443";
    let mut callers = Callers::congested(30);
    let urgent = Route {
        priority: 0,
        latency_target: Some(Duration::from_millis(LATENCY_TARGET_MS)),
        ..route(URGENT, RouteKind::NonIdempotent)
    };
    let mut all = routes();
    all.push(urgent);
    callers.w.configure(3, all);
    let cookie = callers.w.establish(50, URGENT).1;
    let sent = callers.fill(12..20);
    assert_eq!(callers.w.request(50, URGENT, cookie, 2), Verdict::Hold);
    callers.w.advance_clock(5);
    assert!(callers.request_waits(20));
    callers.respond(sent[0]);
    let admitted = callers.w.core.take_admitted();
    assert_eq!(admitted.first(), Some(&flow(50, URGENT)));
}

/// Guards against late requests that delay those that can still be answered in time.
#[test]
fn late_request_waits_for_timely_ones() {
    let mut callers = Callers::congested(30);
    let sent = callers.fill(12..20);
    callers.w.advance_clock(LATENCY_TARGET_MS);
    assert!(callers.request_waits(20));
    callers.respond(sent[0]);
    assert_eq!(callers.replay().first(), Some(&20));
}

/// Guards against requests that starve: a dead target never responds, but its callers get what
/// follows from it before they give up.
#[test]
fn no_request_waits_forever() {
    let mut callers = Callers::congested(30);
    callers.fill(12..20);
    let waiting = callers.w.core.waiting_requests();
    assert!(waiting > 0);
    for _ in 0..70 {
        callers.w.advance_clock(20);
        callers.w.core.tick(callers.w.now);
        callers.replay();
    }
    assert_eq!(callers.w.core.waiting_requests(), 0);
}

/// Guards against taking the retransmission of a waiting request for a sign that its target is dead.
#[test]
fn retransmission_of_waiting_request_is_no_suspicion() {
    let mut callers = Callers::congested(30);
    let sent = callers.fill(12..20);
    let waiting = sent[sent.len() - 1] + 1;
    for _ in 0..5 {
        callers.w.advance_clock(10);
        assert!(callers.request_waits(waiting));
    }
    assert_eq!(callers.w.core.take_probes().count(), 0);
    assert_eq!(callers.w.core.waiting_requests(), 1);
}

/// Guards against work on a request whose caller has given up, and against ignoring a caller that
/// waits on all the same.
#[test]
fn request_of_caller_that_gave_up_is_dropped() {
    let mut callers = Callers::congested(30);
    callers.fill(12..20);
    for port in 20..30 {
        assert!(callers.request_waits(port));
    }
    // The target does not respond at all.
    for _ in 0..62 {
        callers.w.advance_clock(20);
        callers.w.core.tick(callers.w.now);
        callers.replay();
    }
    assert_eq!(callers.w.core.waiting_requests(), 0);
    let abandoned = callers.w.core.counters().requests_abandoned;
    assert!((5..=9).contains(&abandoned), "{abandoned}");
    let waits = (20..30).filter(|port| callers.request_waits(*port));
    assert!(waits.count() > 0);
}

/// Guards against losing waiting requests when the process is asked to end.
#[test]
fn waiting_requests_go_on_before_the_end() {
    let mut callers = Callers::congested(30);
    let sent = callers.fill(12..20);
    let waiting = sent[sent.len() - 1] + 1;
    callers.w.core.stop_holding(callers.w.now);
    assert_eq!(callers.replay(), [waiting]);
    for port in waiting + 1..30 {
        assert!(!callers.request_waits(port), "{port}");
    }
}

/// Guards against a flow whose end overtakes its request.
#[test]
fn end_of_flow_follows_its_request() {
    let mut callers = Callers::congested(30);
    let sent = callers.fill(12..20);
    let waiting = sent[sent.len() - 1] + 1;
    let close = Segment {
        kind: SegmentKind::Close,
        ..packet(flow(waiting, STREAM), SegmentKind::Close, callers.cookie)
    };
    assert_eq!(
        callers.w.core.on_segment(callers.w.now, &close),
        Verdict::Hold
    );
    assert_eq!(callers.replay(), [waiting]);
    forwarded(callers.w.core.on_segment(callers.w.now, &close));
}

/// Guards against a request that goes on although its caller has given up.
#[test]
fn abandoned_request_does_not_go_on() {
    let mut callers = Callers::congested(30);
    let sent = callers.fill(12..20);
    let waiting = sent[sent.len() - 1] + 1;
    let abort = packet(flow(waiting, STREAM), SegmentKind::Reset, callers.cookie);
    forwarded(callers.w.core.on_segment(callers.w.now, &abort));
    assert!(!callers.w.core.is_waiting(&flow(waiting, STREAM)));
    callers.w.core.admit_all(callers.w.now);
    assert!(callers.replay().is_empty());
}

/// Guards against a waiting request that hangs when its target dies.
#[test]
fn waiting_request_of_dead_target_is_reset() {
    let mut callers = Callers::congested(30);
    let sent = callers.fill(12..20);
    let waiting = sent[sent.len() - 1] + 1;
    // Two retransmissions of requests that were sent trigger the probe.
    for _ in 0..2 {
        assert!(!callers.request_waits(sent[0]));
    }
    let name = target(1).name;
    let resets = callers
        .w
        .core
        .on_probe(callers.w.now, &name, ProbeResult::Refused);
    // A single target is the majority of its service, so it does not count as dead.
    assert!(resets.is_empty());
    callers.w.put(super::world::target(2));
    callers.w.put(super::world::target(3));
    let resets = callers
        .w
        .core
        .on_probe(callers.w.now, &name, ProbeResult::Refused);
    assert!(resets.iter().any(|r| r.flow == flow(waiting, STREAM)));
}

/// Guards against a waiting request that is forwarded although its route was dropped.
#[test]
fn waiting_request_of_dropped_route_is_reset() {
    let mut callers = Callers::congested(30);
    let sent = callers.fill(12..20);
    let waiting = sent[sent.len() - 1] + 1;
    let as_of = callers.w.next_revision();
    let now = callers.w.now;
    callers
        .w
        .core
        .on_routes(now, Some(now), as_of, table(9, Vec::new()));
    callers.w.core.admit_all(now);
    let admitted = callers.w.core.take_admitted();
    assert_eq!(admitted, [flow(waiting, STREAM)]);
    let seg = callers.segment(waiting);
    callers.w.core.on_segment(now, &seg);
    callers.w.advance(4_000);
    let verdict = callers.w.core.on_segment(callers.w.now, &seg);
    assert_eq!(reset_reason(verdict), Some(ResetReason::NoRoute));
}

/// Guards against a limit that stays after the burst.
#[test]
fn limit_is_lifted_after_the_burst() {
    let mut callers = Callers::congested(30);
    for _ in 0..80 {
        callers.round(2, USUAL_MS);
    }
    assert_eq!(callers.round(12, USUAL_MS), 0);
}

/// Guards against a buffer that grows without bound.
#[test]
fn waiting_requests_are_bounded() {
    let mut callers = Callers::congested(400);
    for port in 12..400 {
        callers.request_waits(port);
    }
    assert_eq!(callers.w.core.waiting_requests(), 256);
}

/// Guards against an answer that is not the caller's own: a request waited while its caller gave up
/// and opened a new flow from the same port, and went on to its target into the new flow.
#[test]
fn request_of_an_earlier_flow_does_not_go_on() {
    let mut callers = Callers::congested(20);
    let sent = callers.fill(0..20);
    let waiting = u16::try_from(sent.len()).unwrap();
    let key = flow(waiting, STREAM);
    assert!(callers.w.core.is_waiting(&key));
    assert_eq!(callers.w.core.take_superseded(), []);
    let _ = callers.w.open(waiting, STREAM, 0);
    assert_eq!(callers.w.core.take_superseded(), [key]);
    for port in sent {
        callers.respond(port);
    }
    assert!(!callers.w.core.take_admitted().contains(&key));
    assert!(!callers.w.core.is_waiting(&key));
}
