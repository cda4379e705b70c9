use std::time::Duration;

use crate::units::MonoTime;

use crate::steering::directory::cookie::TargetTag;
use crate::steering::directory::target_directory::TargetIndex;
use crate::steering::flows::tracked_flow::FlowPhase;
use crate::steering::targets::target_record::{Presence, TargetRecord};
use crate::steering::{
    Cookie, Decision, DropReason, ResetReason, Segment, SegmentKind, Steering, SyncStatus, Verdict,
};

impl Steering {
    pub(in crate::steering) fn on_flow_packet(&mut self, now: MonoTime, seg: &Segment) -> Verdict {
        if self.routes.get(seg.flow.service).is_none() {
            return self.handle_missing_route(now, seg);
        }
        if seg.cookie == Cookie::NONE {
            return Verdict::Drop(DropReason::NoCookie);
        }
        let tag = seg.cookie.decode(seg.flow.service);
        let Some(index) = self.directory.find_by_tag(tag) else {
            return self.handle_unknown_cookie(now, seg, tag);
        };
        if self.may_have_returned(now, seg, tag, index) {
            self.counters.forwarded_lapsed += 1;
            return self.forward(seg, index);
        }
        if let Some(reason) = self.end_reason(index) {
            self.end_flow(seg);
            return match seg.kind {
                SegmentKind::Reset => Verdict::Drop(DropReason::NothingToReset),
                _ => reset(seg, reason),
            };
        }
        if self.directory.get(index).is_some_and(is_lapsed) {
            self.counters.forwarded_lapsed += 1;
        }
        if self.observe(now, seg, index) {
            return Verdict::Hold;
        }
        self.forward(seg, index)
    }

    /// Remembers when the flows of a target that has ended were last seen.
    pub(in crate::steering) fn remember_flows(&mut self, index: TargetIndex) {
        let Some(record) = self.directory.get(index) else {
            return;
        };
        for (flow, last_seen) in self.flows.to_target(index) {
            let key = (flow, record.tag);
            self.flows_without_target.since(key, last_seen);
        }
    }

    /// Returns whether the flow's target counts as gone and the flow may have been opened after the
    /// target returned, which other balancers may know earlier.
    fn may_have_returned(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        tag: TargetTag,
        index: TargetIndex,
    ) -> bool {
        let presence = self.directory.get(index).map(|r| r.presence);
        let Some(Presence::Gone { confirmed, .. }) = presence else {
            return false;
        };
        let since = self.flows_without_target.since((seg.flow, tag), now);
        let certain_at = since + self.cfg.lapse_grace;
        since > confirmed && !self.confirmed_after(&self.directory_sync, now, certain_at)
    }

    /// Returns why flows of the target have to end, or `None` if the target may be alive.
    fn end_reason(&self, index: TargetIndex) -> Option<ResetReason> {
        let record = self.directory.get(index)?;
        if matches!(record.presence, Presence::Gone { .. }) {
            return Some(ResetReason::TargetGone);
        }
        let is_replaced = self.directory.is_dead_and_replaced(index, &self.routes);
        let is_dead = record.liveness.is_dead() || is_replaced;
        is_dead.then_some(ResetReason::TargetSilent)
    }

    /// Refuses an opening packet for a service address without a route, once its absence was
    /// confirmed after the first such packet.
    pub(in crate::steering) fn refuse_without_route(
        &mut self,
        now: MonoTime,
        seg: &Segment,
    ) -> Verdict {
        self.flows_without_route.remove(&seg.flow);
        let since = self.unknown_routes.since(seg.flow.service, now);
        if self.confirmed_after(&self.routes_sync, now, since) {
            return reset(seg, ResetReason::NoRoute);
        }
        Verdict::Drop(DropReason::RouteUnknown)
    }

    /// Ends a flow whose service address has no route, once that is certain.
    ///
    /// Another balancer may have opened the flow on a route that is not known here yet, even if the
    /// same address had no route before. The route has been removed only if the configuration was
    /// confirmed after the flow existed.
    fn handle_missing_route(&mut self, now: MonoTime, seg: &Segment) -> Verdict {
        let tracked = self.flows.remove(&mut self.directory, &seg.flow);
        if seg.kind == SegmentKind::Reset {
            return Verdict::Drop(DropReason::NothingToReset);
        }
        // A request that was sent before the removal may still get its response.
        let idle = tracked.filter(|f| f.phase == FlowPhase::Idle);
        let known_at = idle.map_or(now, |f| f.last_seen);
        let since = self.flows_without_route.since(seg.flow, known_at);
        if self.confirmed_after(&self.routes_sync, now, since + self.cfg.lapse_grace) {
            return reset(seg, ResetReason::NoRoute);
        }
        Verdict::Drop(DropReason::RouteUnknown)
    }

    fn handle_unknown_cookie(&mut self, now: MonoTime, seg: &Segment, tag: TargetTag) -> Verdict {
        if seg.kind == SegmentKind::Reset {
            return Verdict::Drop(DropReason::NothingToReset);
        }
        // A target of this name may have started again, so that only packets of this flow count.
        let since = self.flows_without_target.since((seg.flow, tag), now);
        if self.confirmed_after(&self.directory_sync, now, since + self.cfg.lapse_grace) {
            return reset(seg, ResetReason::UnknownCookie);
        }
        Verdict::Drop(DropReason::DirectoryStale)
    }

    /// Returns whether the state is fresh and was confirmed after `at`.
    fn confirmed_after(&self, sync: &SyncStatus, now: MonoTime, at: MonoTime) -> bool {
        sync.is_settled(now)
            && sync
                .age(now)
                .is_some_and(|age| age <= self.cfg.max_staleness && now >= at + age)
    }

    /// Updates the estimates by a packet for `index`; returns whether the packet has to wait.
    fn observe(&mut self, now: MonoTime, seg: &Segment, index: TargetIndex) -> bool {
        let is_waiting = self.gate.has_waiting() && self.flows.is_waiting(&seg.flow);
        match seg.kind {
            SegmentKind::Close if is_waiting => {
                // The packets of the request have to arrive before the end of the flow.
                self.admit_now(now, &seg.flow);
                return true;
            }
            SegmentKind::Close | SegmentKind::Reset => {
                if seg.kind == SegmentKind::Close
                    && let Some((took, bytes)) = self.flows.last_response(now, seg)
                {
                    let refused = self.record_response_size(now, seg, index, bytes);
                    self.record_room_response(now, seg, index, took, refused);
                }
                self.end_flow(seg);
            }
            _ => {
                let may_hold = seg.len > 0 && self.may_hold(seg.flow.service);
                let observed =
                    self.flows
                        .record_packet(&mut self.directory, now, seg, index, may_hold);
                if let Some(took) = observed.open_time {
                    self.open_timer.record(took);
                }
                if observed.is_later_request {
                    self.use_permit(now, index);
                }
                if let Some((took, active)) = observed.response_time {
                    let bytes = observed.response_bytes;
                    let refused = self.record_response_size(now, seg, index, bytes);
                    self.record_response_time(now, seg, index, took, active, refused);
                    self.record_room_response(now, seg, index, took, refused);
                }
                if observed.responded {
                    self.record_response(now, index);
                } else if !observed.must_wait {
                    self.queue_probe_if_due(now, index);
                }
                if observed.must_wait {
                    if !is_waiting {
                        self.hold_request(now, seg, index);
                    }
                    return true;
                }
            }
        }
        self.admit_waiting(now, index);
        false
    }

    /// Records a response time; that of a refusal says nothing of the time that a request takes.
    fn record_response_time(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        index: TargetIndex,
        took: Duration,
        active: u32,
        refused: bool,
    ) {
        if refused && self.cfg.refusals.enabled {
            return;
        }
        if let Some(record) = self.directory.get_mut(index) {
            record.record_response_time(now, took);
        }
        self.record_congestion(now, seg, index, took, active);
    }

    fn record_response(&mut self, now: MonoTime, index: TargetIndex) {
        self.last_response = now;
        let Some(record) = self.directory.get(index) else {
            return;
        };
        if self.zone_health.record_response(&record.instance.zone) {
            let zone = record.instance.zone.clone();
            let avoided = false;
            self.record_decision(Decision::ZoneSilent { zone, avoided });
        }
    }

    fn end_flow(&mut self, seg: &Segment) {
        let ended = self.flows.close(&mut self.directory, &seg.flow);
        let profile = self.route_profiles.get_mut(&seg.flow.service);
        if let (Some(flow), Some(profile)) = (ended, profile) {
            profile.update(flow);
        }
    }

    pub(in crate::steering) fn forward(&self, seg: &Segment, index: TargetIndex) -> Verdict {
        let Some(record) = self.directory.get(index) else {
            return Verdict::Drop(DropReason::DirectoryStale);
        };
        Verdict::Forward {
            to: record.instance.address,
            instance_id: record.instance.instance_id,
            cookie: Cookie::encode(record.tag, seg.flow.service),
        }
    }
}

pub(in crate::steering) fn reset(seg: &Segment, reason: ResetReason) -> Verdict {
    Verdict::Reset {
        seq: seg.ack,
        reason,
    }
}

pub(in crate::steering) fn is_lapsed(record: &TargetRecord) -> bool {
    matches!(record.presence, Presence::Lapsed { .. })
}
