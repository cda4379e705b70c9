//! The targets: flows, requests and responses.

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::{Segment, SegmentKind};

use super::event::{Event, RequestId, TargetId};
use super::simulation::{HOP, Simulation};
use super::target::Reception;

impl Simulation {
    pub(super) fn on_target(&mut self, target: TargetId, seg: Segment) {
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

    pub(super) fn on_request(&mut self, target: TargetId, seg: Segment) {
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

    pub(super) fn start_work(&mut self, target: TargetId, flow: FlowKey, request: RequestId) {
        let took = self.targets[target].service_time(self.requests[request].work);
        let event = Event::Finished {
            target,
            flow,
            request,
        };
        self.queue.add(self.now + took, event);
    }

    pub(super) fn on_finished(&mut self, target: TargetId, flow: FlowKey, request: RequestId) {
        if self.targets[target].is_dead(self.now) {
            return;
        }
        self.answer(flow, request, false);
        if let Some((flow, request)) = self.targets[target].finish() {
            self.start_work(target, flow, request);
        }
    }

    pub(super) fn answer(&mut self, flow: FlowKey, request: RequestId, is_refusal: bool) {
        let event = Event::Answered {
            flow,
            request,
            is_refusal,
        };
        self.queue.add(self.now + HOP, event);
    }
}
