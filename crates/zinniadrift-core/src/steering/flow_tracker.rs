use std::time::Duration;

use hashbrown::HashMap;

use crate::flow::FlowKey;
use crate::ids::ServiceId;
use crate::units::MonoTime;

use super::directory::{Directory, TargetIndex};
use super::tracked_flow::{FlowPhase, TrackedFlow};
use super::{Segment, SegmentKind};

/// Observes the flows whose packets pass this balancer, to estimate the load of targets.
///
/// It decides nothing about open flows; what it forgets costs accuracy only.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowTracker {
    flows: HashMap<FlowKey, TrackedFlow>,
    capacity: usize,
    /// Times to answer since they were last taken.
    times: Vec<(ServiceId, Duration)>,
}

/// The number of kept times; the driver takes them after every batch of packets.
const TIMES_CAPACITY: usize = 1_024;

/// The time after the last opening packet at which the caller has given the attempt up.
const OPEN_LIFE: Duration = Duration::from_millis(1_500);
/// The time without a packet after which a request is not at work any more: the longest work of a
/// slowed target is below it, and the caller of a lost one has tried again.
const REQUEST_LIFE: Duration = Duration::from_secs(5);

/// Is what the end of a flow tells about its route.
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
            times: Vec::new(),
        }
    }

    pub(crate) fn take_times(&mut self) -> impl Iterator<Item = (ServiceId, Duration)> + '_ {
        self.times.drain(..)
    }

    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(crate) fn get(&self, flow: &FlowKey) -> Option<&TrackedFlow> {
        self.flows.get(flow)
    }

    /// Records an opening packet that goes to `target`.
    pub(crate) fn open(
        &mut self,
        dir: &mut Directory,
        now: MonoTime,
        seg: &Segment,
        target: TargetIndex,
    ) {
        let before = self.end(dir, &seg.flow);
        if self.flows.len() >= self.capacity {
            return;
        }
        let tried = before
            .filter(|f| f.phase == FlowPhase::Opening && f.target != target)
            .map(|f| f.target);
        let flow = TrackedFlow {
            tried,
            ..TrackedFlow::new(target, FlowPhase::Opening, now, seg)
        };
        self.insert(dir, seg.flow, flow);
    }

    fn insert(&mut self, dir: &mut Directory, key: FlowKey, flow: TrackedFlow) {
        if let Some(record) = dir.get_mut(flow.target) {
            record.flows += 1;
            record.enter(flow.phase);
        }
        self.flows.insert(key, flow);
    }

    /// Records a packet of an open flow that goes to `target`; tells whether it shows an answer.
    pub(crate) fn pass(
        &mut self,
        dir: &mut Directory,
        now: MonoTime,
        seg: &Segment,
        target: TargetIndex,
    ) -> bool {
        if self
            .flows
            .get(&seg.flow)
            .is_some_and(|f| f.target != target)
        {
            // Another target answered the opening packet first.
            self.end(dir, &seg.flow);
        }
        if !self.flows.contains_key(&seg.flow) && !self.adopt(dir, now, seg, target) {
            return false;
        }
        let Some(flow) = self.flows.get_mut(&seg.flow) else {
            return false;
        };
        let Some(record) = dir.get_mut(target) else {
            return false;
        };
        let before = flow.phase;
        let mut answered = false;
        flow.seen = now;
        match flow.phase {
            FlowPhase::Opening => {
                record.note_answer();
                answered = true;
                flow.last_ack = seg.ack;
                // A caller that opened a flow for a request sends it at once.
                flow.phase = FlowPhase::Idle;
            }
            FlowPhase::Busy { since } if advances(flow.last_ack, seg.ack) => {
                record.note_answer();
                answered = true;
                let took = now.since(since);
                record.note_answer_time(now, took);
                if self.times.len() < TIMES_CAPACITY {
                    self.times.push((record.instance.service, took));
                }
                flow.last_ack = seg.ack;
                flow.phase = FlowPhase::Idle;
            }
            FlowPhase::Busy { .. } | FlowPhase::Closed => {}
            FlowPhase::Idle => flow.last_ack = seg.ack,
        }
        if seg.len > 0 {
            let is_repeat = !advances(flow.next_seq, seg.end());
            match flow.phase {
                FlowPhase::Idle => {
                    flow.phase = FlowPhase::Busy { since: now };
                    flow.requests += 1;
                }
                FlowPhase::Busy { .. } if is_repeat => record.liveness.note_repeat(),
                _ => {}
            }
            if !is_repeat {
                flow.next_seq = seg.end();
            }
        }
        flow.bytes = flow.bytes.saturating_add(seg.len.into());
        record.leave(before);
        record.enter(flow.phase);
        answered
    }

    /// Starts to observe a flow that was opened elsewhere; tells whether there was room.
    fn adopt(
        &mut self,
        dir: &mut Directory,
        now: MonoTime,
        seg: &Segment,
        target: TargetIndex,
    ) -> bool {
        if self.flows.len() >= self.capacity || seg.kind != SegmentKind::Data {
            return false;
        }
        let flow = TrackedFlow {
            last_ack: seg.ack,
            ..TrackedFlow::new(target, FlowPhase::Idle, now, seg)
        };
        self.insert(dir, seg.flow, flow);
        true
    }

    /// Stops observing a flow and returns it.
    pub(crate) fn end(&mut self, dir: &mut Directory, flow: &FlowKey) -> Option<TrackedFlow> {
        let flow = self.flows.remove(flow)?;
        release(dir, &flow);
        Some(flow)
    }

    /// Records that an end closed the flow; its last packets change nothing any more.
    pub(crate) fn close(&mut self, dir: &mut Directory, flow: &FlowKey) -> Option<FlowSummary> {
        let flow = self.flows.get_mut(flow)?;
        if flow.phase == FlowPhase::Closed {
            return None;
        }
        release(dir, flow);
        flow.phase = FlowPhase::Closed;
        Some(flow.summary())
    }

    /// Closes the flows with a request at `target` and returns them with their last acknowledgement.
    pub(crate) fn abandon(
        &mut self,
        dir: &mut Directory,
        target: TargetIndex,
    ) -> Vec<(FlowKey, u32)> {
        let mut abandoned = Vec::new();
        for (key, flow) in &mut self.flows {
            if flow.target == target && matches!(flow.phase, FlowPhase::Busy { .. }) {
                release(dir, flow);
                flow.phase = FlowPhase::Closed;
                abandoned.push((*key, flow.last_ack));
            }
        }
        abandoned
    }

    /// Stops observing flows without a packet for `idle`.
    pub(crate) fn sweep(&mut self, dir: &mut Directory, now: MonoTime, idle: Duration) {
        self.flows.retain(|_, flow| {
            let silent = now.since(flow.seen);
            let keep = silent <= idle && (flow.phase != FlowPhase::Opening || silent <= OPEN_LIFE);
            if !keep {
                release(dir, flow);
            } else if matches!(flow.phase, FlowPhase::Busy { .. }) && silent > REQUEST_LIFE {
                if let Some(record) = dir.get_mut(flow.target) {
                    record.leave(flow.phase);
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
            tried: None,
            phase,
            last_ack: 0,
            next_seq: seg.seq,
            seen: now,
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

fn release(dir: &mut Directory, flow: &TrackedFlow) {
    if flow.phase == FlowPhase::Closed {
        return;
    }
    let Some(record) = dir.get_mut(flow.target) else {
        return;
    };
    record.flows = record.flows.saturating_sub(1);
    record.leave(flow.phase);
}

/// Tells whether `ack` is after `before`, with wrap-around.
fn advances(before: u32, ack: u32) -> bool {
    ack.wrapping_sub(before) as i32 > 0
}
