//! The balancers: packets, timers, probes and news of the store.

use std::time::Duration;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::{
    DropReason, Position, ProbeResult, Segment, SegmentKind, Verdict,
};

use super::Scenario;
use super::event::{BalancerId, Event, TargetId};
use super::simulation::{HOP, Simulation};

/// The additional time that a packet takes between two zones.
const ZONE_HOP: Duration = Duration::from_micros(1_400);
/// The time after which a probe of a dead target fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// The number of the last opening packet that a caller sends.
const LAST_RETRANSMISSION: u32 = 2;
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

impl Simulation {
    pub(super) fn send(&mut self, segment: Segment) {
        self.queue
            .add(self.now + HOP, Event::AtBalancer { segment });
    }

    pub(super) fn on_balancer(&mut self, segment: Segment) {
        if self.now < self.dark_until {
            return;
        }
        let balancer = self.balancer_for(segment.flow);
        let verdicts = self.balancers[balancer].on_segment(self.now, segment);
        self.apply(balancer, verdicts);
    }

    /// Returns the balancer of the caller's zone that the routers send a flow to.
    pub(super) fn balancer_for(&self, flow: FlowKey) -> BalancerId {
        let zones = self.scenario.zones;
        let zone = self.caller_of(flow).unwrap_or(0) % zones;
        let in_zone = (self.balancers.len() - zone).div_ceil(zones).max(1);
        let nth = flow.hash64() as usize % in_zone;
        (zone + nth * zones) % self.balancers.len()
    }

    pub(super) fn on_tick(&mut self, balancer: BalancerId) {
        if self.now < self.balancers[balancer].next_tick {
            return;
        }
        let verdicts = self.balancers[balancer].tick(self.now);
        self.apply(balancer, verdicts);
    }

    pub(super) fn apply(&mut self, balancer: BalancerId, verdicts: Vec<(Segment, Verdict)>) {
        for (segment, verdict) in verdicts {
            self.record_open(&segment, verdict);
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
        let decisions = state.core.take_decisions();
        if let Some(log) = &mut self.decisions {
            let at = self.now.as_micros();
            log.extend(decisions.map(|d| format!("{at} {balancer} {d:?}")));
        } else {
            decisions.for_each(drop);
        }
        state.core.take_response_times().for_each(drop);
        let next = state.core.next_tick();
        if next < state.next_tick || state.next_tick <= self.now {
            state.next_tick = next;
            self.queue.add(next, Event::Tick { balancer });
        }
    }

    /// Records what a balancer did with an opening packet that it did not forward.
    fn record_open(&mut self, segment: &Segment, verdict: Verdict) {
        let SegmentKind::Open { retransmissions } = segment.kind else {
            return;
        };
        let live = self.targets.iter().filter(|t| !t.is_dead(self.now));
        let free: u32 = live.map(|t| u32::from(t.free_slots())).sum();
        let slots = self.targets.len() as u32 * u32::from(Scenario::SLOTS);
        let opens = &mut self.tally.opens;
        match verdict {
            Verdict::Reset { .. } => {
                opens.refused += 1;
                opens.refused_with_free_slots += u64::from(free * 10 >= slots);
            }
            Verdict::Drop(DropReason::AwaitingRoom) => {
                opens.held += 1;
                opens.held_at_last += u64::from(retransmissions >= LAST_RETRANSMISSION);
            }
            Verdict::Forward { .. } | Verdict::Hold | Verdict::Drop(_) => {}
        }
    }

    pub(super) fn reset_caller(&mut self, flow: FlowKey) {
        self.queue
            .add(self.now + HOP, Event::ResetReceived { flow });
    }

    pub(super) fn on_probed(&mut self, balancer: BalancerId, target: TargetId) {
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

    pub(super) fn on_confirm(&mut self) {
        self.revision += 1;
        let as_of = Position::from(self.revision);
        for balancer in &mut self.balancers {
            let core = &mut balancer.core;
            core.on_changes(self.now, Some(self.now), Vec::new(), as_of);
            core.confirm_routes(self.now, as_of);
        }
        self.queue.add(self.now + CONFIRM_INTERVAL, Event::Confirm);
    }
}
