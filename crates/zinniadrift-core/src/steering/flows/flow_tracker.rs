use std::time::Duration;

use hashbrown::HashMap;

use crate::flow::FlowKey;
use crate::ids::ServiceId;
use crate::units::MonoTime;

use crate::steering::directory::target_directory::{Directory, TargetIndex};
use crate::steering::flows::tracked_flow::{FlowPhase, TrackedFlow};
use crate::steering::{RouteTable, Segment, SegmentKind};

/// Observes the flows whose packets pass through this balancer to estimate the load of targets.
///
/// It plays no part in the forwarding of open flows: a flow that it does not track only makes the
/// estimates less accurate.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowTracker {
    flows: HashMap<FlowKey, TrackedFlow>,
    capacity: usize,
    /// The response times since they were last taken.
    response_times: Vec<(ServiceId, Duration)>,
}

/// The maximum number of response times; the driver takes them after every batch of packets.
const RESPONSE_TIMES_CAPACITY: usize = 1_024;

/// The time since the last opening packet after which the caller has given up.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time without a packet after which a request of a route without a timeout no longer counts as
/// active.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// What a packet of an open flow shows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PacketObservation {
    /// The target responded since the last packet.
    pub(crate) responded: bool,
    /// The time from the opening packet to this one, if this one shows the answer to it.
    pub(crate) open_time: Option<Duration>,
    /// The response time of a request that has ended, and the number of requests that the target
    /// had until then.
    pub(crate) response_time: Option<(Duration, u32)>,
    /// How far the response moved the caller's acknowledgement, in bytes.
    pub(crate) response_bytes: u32,
    /// The packet belongs to a request for which the target has no room.
    pub(crate) must_wait: bool,
    /// The packet starts a request that is not the first of its flow.
    pub(crate) is_later_request: bool,
}

/// Totals of an ended flow, for its route's profile.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct FlowSummary {
    pub(crate) requests: u32,
    pub(crate) bytes: u32,
}

impl FlowTracker {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            flows: HashMap::new(),
            capacity,
            response_times: Vec::new(),
        }
    }

    pub(crate) fn take_response_times(
        &mut self,
    ) -> impl Iterator<Item = (ServiceId, Duration)> + '_ {
        self.response_times.drain(..)
    }

    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(crate) fn get(&self, flow: &FlowKey) -> Option<&TrackedFlow> {
        self.flows.get(flow)
    }

    /// Records an opening packet that is forwarded to `target`.
    pub(crate) fn record_open(
        &mut self,
        dir: &mut Directory,
        now: MonoTime,
        seg: &Segment,
        target: TargetIndex,
    ) {
        let before = self.remove(dir, &seg.flow);
        if self.flows.len() >= self.capacity {
            return;
        }
        let previous_target = before
            .filter(|f| f.phase == FlowPhase::Opening && f.target != target)
            .map(|f| f.target);
        let flow = TrackedFlow {
            previous_target,
            ..TrackedFlow::new(target, FlowPhase::Opening, now, seg)
        };
        self.insert(dir, seg.flow, flow);
    }

    fn insert(&mut self, dir: &mut Directory, key: FlowKey, flow: TrackedFlow) {
        if let Some(record) = dir.get_mut(flow.target) {
            record.open_flows += 1;
            record.enter_phase(flow.phase);
        }
        self.flows.insert(key, flow);
    }

    /// Returns the response time and size of a request whose response is acknowledged by the packet
    /// that closes the flow.
    pub(crate) fn last_response(&self, now: MonoTime, seg: &Segment) -> Option<(Duration, u32)> {
        let flow = self.flows.get(&seg.flow)?;
        match flow.phase {
            FlowPhase::AwaitingResponse { since } if is_after(flow.last_ack, seg.ack) => {
                Some((now.since(since), seg.ack.wrapping_sub(flow.last_ack)))
            }
            _ => None,
        }
    }

    /// Returns whether a request of the flow waits in the balancer.
    pub(crate) fn is_waiting(&self, flow: &FlowKey) -> bool {
        let flow = self.flows.get(flow);
        flow.is_some_and(|f| f.phase == FlowPhase::Waiting)
    }

    /// Marks a waiting request as sent; returns whether the flow had one.
    pub(crate) fn admit(&mut self, dir: &mut Directory, now: MonoTime, flow: &FlowKey) -> bool {
        let flow = self.flows.get_mut(flow);
        let Some(flow) = flow.filter(|f| f.phase == FlowPhase::Waiting) else {
            return false;
        };
        let before = std::mem::replace(&mut flow.phase, FlowPhase::AwaitingResponse { since: now });
        flow.requests += 1;
        if let Some(record) = dir.get_mut(flow.target) {
            record.leave_phase(before);
            record.enter_phase(flow.phase);
        }
        true
    }

    /// Forgets the waiting request of a flow.
    pub(crate) fn abandon(&mut self, dir: &mut Directory, flow: &FlowKey) {
        let flow = self.flows.get_mut(flow);
        let Some(flow) = flow.filter(|f| f.phase == FlowPhase::Waiting) else {
            return;
        };
        if let Some(record) = dir.get_mut(flow.target) {
            record.leave_phase(flow.phase);
        }
        flow.phase = FlowPhase::Idle;
    }

    /// Records a packet of an open flow for `target`, and whether it has to wait if `may_hold`.
    pub(crate) fn record_packet(
        &mut self,
        dir: &mut Directory,
        now: MonoTime,
        seg: &Segment,
        target: TargetIndex,
        may_hold: bool,
    ) -> PacketObservation {
        let mut observed = PacketObservation::default();
        if self
            .flows
            .get(&seg.flow)
            .is_some_and(|f| f.target != target)
        {
            // Another target responded first to the opening packet.
            self.remove(dir, &seg.flow);
        }
        if !self.flows.contains_key(&seg.flow) && !self.track_established(dir, now, seg, target) {
            return observed;
        }
        let Some(flow) = self.flows.get_mut(&seg.flow) else {
            return observed;
        };
        let Some(record) = dir.get_mut(target) else {
            return observed;
        };
        let before = flow.phase;
        let last_seen = std::mem::replace(&mut flow.last_seen, now);
        match flow.phase {
            FlowPhase::Opening => {
                record.record_response(now);
                observed.responded = true;
                observed.open_time = Some(now.since(last_seen));
                flow.last_ack = seg.ack;
                // The request of a caller that opened the flow for it follows at once.
                flow.phase = FlowPhase::Idle;
            }
            FlowPhase::AwaitingResponse { since } if is_after(flow.last_ack, seg.ack) => {
                record.record_response(now);
                observed.responded = true;
                let took = now.since(since);
                observed.response_time = Some((took, record.active_requests));
                observed.response_bytes = seg.ack.wrapping_sub(flow.last_ack);
                if self.response_times.len() < RESPONSE_TIMES_CAPACITY {
                    self.response_times.push((record.instance.service, took));
                }
                flow.last_ack = seg.ack;
                flow.phase = FlowPhase::Idle;
            }
            FlowPhase::AwaitingResponse { .. } | FlowPhase::Closed => {}
            FlowPhase::Idle | FlowPhase::Waiting => flow.last_ack = seg.ack,
        }
        if seg.len > 0 {
            let is_retransmission = !is_after(flow.next_seq, seg.end());
            let own = u32::from(matches!(before, FlowPhase::AwaitingResponse { .. }));
            let others = record.active_requests.saturating_sub(own);
            match flow.phase {
                FlowPhase::Idle if may_hold && !record.limit.allows(others) => {
                    flow.phase = FlowPhase::Waiting;
                    observed.must_wait = true;
                }
                FlowPhase::Waiting => observed.must_wait = true,
                FlowPhase::Idle => {
                    flow.phase = FlowPhase::AwaitingResponse { since: now };
                    observed.is_later_request = flow.requests > 0;
                    flow.requests += 1;
                }
                FlowPhase::AwaitingResponse { .. } if is_retransmission => {
                    record.liveness.record_retransmission();
                }
                _ => {}
            }
            if !is_retransmission && !observed.must_wait {
                flow.next_seq = seg.end();
            }
        }
        if !observed.must_wait {
            flow.bytes = flow.bytes.saturating_add(seg.len.into());
        }
        record.leave_phase(before);
        record.enter_phase(flow.phase);
        observed
    }

    /// Starts tracking a flow that another balancer opened; returns whether it is tracked.
    fn track_established(
        &mut self,
        dir: &mut Directory,
        now: MonoTime,
        seg: &Segment,
        target: TargetIndex,
    ) -> bool {
        if self.flows.len() >= self.capacity || seg.kind != SegmentKind::Established {
            return false;
        }
        let flow = TrackedFlow {
            last_ack: seg.ack,
            ..TrackedFlow::new(target, FlowPhase::Idle, now, seg)
        };
        self.insert(dir, seg.flow, flow);
        true
    }

    /// Marks the answer to the opening packet sent at `sent` as overdue and returns the flow's target;
    /// `None` if it was answered, retransmitted or closed since.
    pub(crate) fn mark_overdue(&mut self, sent: MonoTime, flow: &FlowKey) -> Option<TargetIndex> {
        let flow = self.flows.get_mut(flow)?;
        if flow.phase != FlowPhase::Opening || flow.last_seen != sent {
            return None;
        }
        flow.is_overdue = true;
        Some(flow.target)
    }

    /// Stops tracking a flow and returns it.
    pub(crate) fn remove(&mut self, dir: &mut Directory, flow: &FlowKey) -> Option<TrackedFlow> {
        let flow = self.flows.remove(flow)?;
        release(dir, &flow);
        Some(flow)
    }

    /// Marks a flow as closed by either end; packets that still arrive do not reopen it.
    pub(crate) fn close(&mut self, dir: &mut Directory, flow: &FlowKey) -> Option<FlowSummary> {
        let flow = self.flows.get_mut(flow)?;
        if flow.phase == FlowPhase::Closed {
            return None;
        }
        release(dir, flow);
        flow.phase = FlowPhase::Closed;
        Some(flow.summary())
    }

    /// Returns the flows to `target` that are not closed, each with the time of its last packet.
    pub(crate) fn to_target(
        &self,
        target: TargetIndex,
    ) -> impl Iterator<Item = (FlowKey, MonoTime)> + '_ {
        let open = move |f: &TrackedFlow| f.target == target && f.phase != FlowPhase::Closed;
        let flows = self.flows.iter().filter(move |(_, f)| open(f));
        flows.map(|(key, f)| (*key, f.last_seen))
    }

    /// Closes the flows that await a response of `target`; returns each with its last
    /// acknowledgement, sorted by flow.
    pub(crate) fn close_awaiting(
        &mut self,
        dir: &mut Directory,
        target: TargetIndex,
    ) -> Vec<(FlowKey, u32)> {
        let mut closed = Vec::new();
        for (key, flow) in &mut self.flows {
            let has_request = matches!(
                flow.phase,
                FlowPhase::AwaitingResponse { .. } | FlowPhase::Waiting
            );
            if flow.target == target && has_request {
                release(dir, flow);
                flow.phase = FlowPhase::Closed;
                closed.push((*key, flow.last_ack));
            }
        }
        closed.sort_unstable();
        closed
    }

    /// Stops tracking flows that had no packet for the routes' idle timeout, or for `lifetime` if they
    /// have none.
    ///
    /// A request counts as active until its caller has given up, by the timeout of its route.
    pub(crate) fn sweep(
        &mut self,
        dir: &mut Directory,
        routes: &RouteTable,
        now: MonoTime,
        lifetime: Duration,
    ) {
        let idle = match routes.idle_timeout() {
            Duration::ZERO => lifetime,
            timeout => timeout,
        };
        self.flows.retain(|key, flow| {
            let idle_time = now.since(flow.last_seen);
            let keep = idle_time <= idle
                && (flow.phase != FlowPhase::Opening || idle_time <= OPEN_TIMEOUT);
            if !keep {
                release(dir, flow);
            } else if matches!(flow.phase, FlowPhase::AwaitingResponse { .. })
                && idle_time > request_timeout(routes, key)
            {
                if let Some(record) = dir.get_mut(flow.target) {
                    record.leave_phase(flow.phase);
                }
                flow.phase = FlowPhase::Idle;
            }
            keep
        });
    }
}

impl TrackedFlow {
    fn new(target: TargetIndex, phase: FlowPhase, now: MonoTime, seg: &Segment) -> Self {
        Self {
            target,
            previous_target: None,
            phase,
            last_ack: 0,
            next_seq: seg.seq,
            last_seen: now,
            is_overdue: false,
            requests: 0,
            bytes: 0,
        }
    }

    pub(crate) fn summary(&self) -> FlowSummary {
        FlowSummary {
            requests: self.requests,
            bytes: self.bytes,
        }
    }
}

fn request_timeout(routes: &RouteTable, flow: &FlowKey) -> Duration {
    let route = routes.get(flow.service);
    route.and_then(|r| r.timeout).unwrap_or(REQUEST_TIMEOUT)
}

fn release(dir: &mut Directory, flow: &TrackedFlow) {
    if flow.phase == FlowPhase::Closed {
        return;
    }
    let Some(record) = dir.get_mut(flow.target) else {
        return;
    };
    record.open_flows = record.open_flows.saturating_sub(1);
    record.leave_phase(flow.phase);
}

/// Returns whether `ack` is after `before` in wrapping sequence space.
fn is_after(before: u32, ack: u32) -> bool {
    ack.wrapping_sub(before) as i32 > 0
}
