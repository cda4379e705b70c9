use std::collections::HashMap;
use std::sync::Arc;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::{
    DirectoryListing, Position, RouteTable, Segment, Steering, SteeringSettings, TargetInstance,
    Verdict,
};
use zinniadrift_core::units::MonoTime;

/// A balancer: the real core with the packets that it holds.
pub(super) struct Balancer {
    pub(super) core: Steering,
    waiting: HashMap<FlowKey, Vec<Segment>>,
    /// The earliest timer event that is in the simulation's queue.
    pub(super) next_tick: MonoTime,
}

impl Balancer {
    /// Starts a balancer that knows the targets and routes.
    pub(super) fn start(
        cfg: SteeringSettings,
        seed: u64,
        now: MonoTime,
        targets: Vec<TargetInstance>,
        routes: Arc<RouteTable>,
    ) -> Self {
        let mut core = Steering::new(cfg, seed);
        let as_of = Position::from(1);
        let listing = DirectoryListing { as_of, targets };
        core.on_listing(now, Some(now), listing);
        core.on_routes(now, Some(now), as_of, routes);
        Self {
            core,
            waiting: HashMap::new(),
            next_tick: now,
        }
    }

    /// Processes a packet and returns the verdicts that follow from it.
    pub(super) fn on_segment(&mut self, now: MonoTime, seg: Segment) -> Vec<(Segment, Verdict)> {
        let mut verdicts = Vec::new();
        self.decide(now, seg, &mut verdicts);
        self.admit(now, &mut verdicts);
        verdicts
    }

    /// Does the periodic maintenance and returns the verdicts that follow from it.
    pub(super) fn tick(&mut self, now: MonoTime) -> Vec<(Segment, Verdict)> {
        let mut verdicts = Vec::new();
        self.core.tick(now);
        self.admit(now, &mut verdicts);
        verdicts
    }

    fn decide(&mut self, now: MonoTime, seg: Segment, out: &mut Vec<(Segment, Verdict)>) {
        match self.core.on_segment(now, &seg) {
            Verdict::Hold => self.waiting.entry(seg.flow).or_default().push(seg),
            verdict => out.push((seg, verdict)),
        }
    }

    fn admit(&mut self, now: MonoTime, out: &mut Vec<(Segment, Verdict)>) {
        for flow in self.core.take_admitted() {
            let mut segments = self.waiting.remove(&flow).unwrap_or_default();
            segments.dedup();
            for seg in segments {
                self.decide(now, seg, out);
            }
        }
    }
}
