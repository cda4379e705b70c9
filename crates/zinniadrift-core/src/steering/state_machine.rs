use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::flow::FlowKey;
use crate::ids::ServiceId;
use crate::units::{MonoTime, Version};

use crate::steering::admission::{AdmissionGate, RoomGate};
use crate::steering::directory::cookie::TargetTag;
use crate::steering::directory::first_seen::FirstSeen;
use crate::steering::flows::flow_tracker::FlowTracker;
use crate::steering::flows::open_timer::OpenTimer;
use crate::steering::observations::observation_table::ObservationTable;
use crate::steering::observations::unanswered_opens::UnansweredOpens;
use crate::steering::refusals::ResponseSize;
use crate::steering::routes::route_history::RouteHistory;
use crate::steering::routes::route_profile::RouteProfile;
use crate::steering::targets::target_record::Presence;
use crate::steering::targets::warm_up_limit::WarmUpLimits;
use crate::steering::targets::zone_health::ZoneHealth;
use crate::steering::{
    Decision, Directory, Era, HeldShare, PauseCount, Position, ProbeRequest, ReporterId,
    ResetReason, RouteTable, Segment, SegmentKind, ShareLedger, SteeringCounters, SteeringSettings,
    SyncStatus, Verdict, ZoneDrains,
};

/// Decides which target each packet goes to.
///
/// Open flows follow their cookie. New flows go to the target with the lowest expected wait. A flow
/// is reset only on confirmed knowledge; packets that cannot be decided are dropped, and the caller
/// retransmits them.
#[derive(Debug)]
pub struct Steering {
    pub(super) cfg: SteeringSettings,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) directory: Directory,
    pub(super) directory_sync: SyncStatus,
    pub(super) routes: Arc<RouteTable>,
    pub(super) routes_sync: SyncStatus,
    pub(super) routes_as_of: Position,
    /// The latest era of the store that is known; `None` before the first state.
    pub(super) era: Option<Era>,
    pub(super) route_history: RouteHistory,
    pub(super) flows: FlowTracker,
    pub(super) route_profiles: HashMap<SocketAddrV4, RouteProfile>,
    pub(super) gate: AdmissionGate,
    pub(super) room: RoomGate,
    /// The usual size of responses by service address.
    pub(super) response_sizes: HashMap<SocketAddrV4, ResponseSize>,
    pub(super) zone_health: ZoneHealth,
    pub(super) zone_drains: ZoneDrains,
    pub(super) held_share: HeldShare,
    pub(super) share_ledger: ShareLedger,
    pub(super) warm_up_limits: WarmUpLimits,
    /// When packets first arrived of flows whose cookie names no known target, or one that has
    /// ended; of a flow that was known before the end, when its last packet arrived.
    pub(super) flows_without_target: FirstSeen<(FlowKey, TargetTag)>,
    /// When opening packets first arrived for service addresses without a route.
    pub(super) unknown_routes: FirstSeen<SocketAddrV4>,
    /// When packets first arrived of flows whose service address has no route.
    pub(super) flows_without_route: FirstSeen<FlowKey>,
    /// The median response time of each service in microseconds.
    pub(super) median_response_us: HashMap<ServiceId, f32>,
    pub(super) next_sweep: MonoTime,
    pub(super) last_tick: MonoTime,
    pub(super) pauses: PauseCount,
    pub(super) paused_at: MonoTime,
    /// The time of the last response from any target to a flow of this balancer.
    pub(super) last_response: MonoTime,
    /// What is known of targets from all balancers.
    pub(super) observations: ObservationTable,
    pub(super) opens: UnansweredOpens,
    pub(super) open_timer: OpenTimer,
    pub(super) probes: Vec<ProbeRequest>,
    pub(super) counters: SteeringCounters,
    pub(super) decisions: Vec<Decision>,
}

/// The time for which a balancer that has just started waits for the store or a peer to confirm its
/// first lists. An answer of the store takes a few milliseconds, and the packets that arrive
/// meanwhile are held for 200 ms.
const CONFIRMATION_PATIENCE: Duration = Duration::from_millis(80);
/// The time for which a balancer that has just started waits for the drained zones once it knows
/// routes and targets, as long as for a peer that has no state yet. They come with the lists unless
/// the peer is of an older build and the store does not respond.
const ZONE_DRAINS_PATIENCE: Duration = Duration::from_secs(2);
/// The time for which opening packets wait for the drained zones to be read again after a pause of
/// the process: callers retransmit them after it.
const PAUSE_PATIENCE: Duration = Duration::from_millis(200);
/// The maximum number of service addresses whose absence is remembered.
const UNKNOWN_CAPACITY: usize = 4_096;
/// The interval of periodic maintenance.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of decisions kept between two calls of `take_decisions`.
const DECISION_CAPACITY: usize = 256;

impl Steering {
    /// Returns a balancer without any knowledge; `seed` seeds its random choices.
    pub fn new(cfg: SteeringSettings, seed: u64) -> Self {
        Self {
            flows: FlowTracker::new(cfg.tracked_flows),
            flows_without_route: FirstSeen::new(cfg.tracked_flows),
            flows_without_target: FirstSeen::new(cfg.tracked_flows),
            cfg,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            directory: Directory::default(),
            directory_sync: SyncStatus::default(),
            routes: Arc::default(),
            routes_sync: SyncStatus::default(),
            routes_as_of: Position::default(),
            era: None,
            route_history: RouteHistory::default(),
            route_profiles: HashMap::new(),
            gate: AdmissionGate::default(),
            room: RoomGate::default(),
            response_sizes: HashMap::new(),
            zone_health: ZoneHealth::default(),
            zone_drains: ZoneDrains::default(),
            held_share: HeldShare::default(),
            share_ledger: ShareLedger::default(),
            warm_up_limits: WarmUpLimits::default(),
            unknown_routes: FirstSeen::new(UNKNOWN_CAPACITY),
            median_response_us: HashMap::new(),
            next_sweep: MonoTime::default(),
            last_tick: MonoTime::default(),
            pauses: PauseCount::default(),
            paused_at: MonoTime::default(),
            last_response: MonoTime::default(),
            observations: ObservationTable::new(ReporterId::from_bytes(&seed.to_be_bytes())),
            opens: UnansweredOpens::default(),
            open_timer: OpenTimer::default(),
            probes: Vec::new(),
            counters: SteeringCounters::default(),
            decisions: Vec::new(),
        }
    }

    /// Replaces the settings; the capacity for tracked flows stays as it was at the start.
    pub fn set_settings(&mut self, cfg: SteeringSettings) {
        let was_sharing = self.shares_observations();
        self.cfg = cfg;
        if was_sharing && !self.shares_observations() {
            self.observations = ObservationTable::new(self.observations.alert().epoch);
            self.opens.clear();
        }
    }

    /// Returns the counts of decisions since the start.
    pub const fn counters(&self) -> &SteeringCounters {
        &self.counters
    }

    /// Returns the known targets.
    pub const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the routes in force.
    pub const fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Returns how current the directory is.
    pub const fn directory_sync(&self) -> &SyncStatus {
        &self.directory_sync
    }

    /// Returns how current the configuration is.
    pub const fn routes_sync(&self) -> &SyncStatus {
        &self.routes_sync
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Returns the number of tracked flows.
    pub fn tracked_flows(&self) -> usize {
        self.flows.len()
    }

    /// Takes the decisions since the last call, for the log.
    pub fn take_decisions(&mut self) -> impl Iterator<Item = Decision> + '_ {
        self.decisions.drain(..)
    }

    /// Takes the response times since the last call, by service.
    pub fn take_response_times(&mut self) -> impl Iterator<Item = (ServiceId, Duration)> + '_ {
        self.flows.take_response_times()
    }

    /// Returns whether new flows can be placed, which takes known routes and targets.
    ///
    /// The first lists may be seconds old, with targets and routes that have been removed since, so
    /// their confirmation is awaited for a moment.
    pub fn can_place(&self, now: MonoTime) -> bool {
        self.placing_starts_at().is_some_and(|at| now >= at)
    }

    /// Returns whether opening packets can be decided.
    ///
    /// After a pause of the process, a zone may have been drained that the balancer does not know
    /// of, so that opening packets wait for a moment for the drained zones to be read again.
    pub fn can_open(&self, now: MonoTime) -> bool {
        self.can_place(now) && self.zone_wait_ends_at().is_none_or(|at| now >= at)
    }

    /// Returns until when opening packets wait after a pause of the process.
    fn zone_wait_ends_at(&self) -> Option<MonoTime> {
        let is_waiting = self.cfg.zone_drains.enabled
            && self.pauses > PauseCount::default()
            && self.zone_drains.sync().last_confirmed().is_none();
        is_waiting.then(|| self.paused_at + PAUSE_PATIENCE)
    }

    /// Returns when new flows can be placed; `None` while routes or targets are unknown.
    fn placing_starts_at(&self) -> Option<MonoTime> {
        let known = self.lists_known_since()?;
        let mut is_confirmed = [&self.routes_sync, &self.directory_sync]
            .iter()
            .all(|sync| sync.last_confirmed().is_some());
        let mut known = known;
        if self.cfg.zone_drains.enabled {
            let limit = known + ZONE_DRAINS_PATIENCE;
            let zones = self.zone_drains.sync();
            known = known.max(zones.known_since().map_or(limit, |at| at.min(limit)));
            is_confirmed &= zones.last_confirmed().is_some();
        }
        if is_confirmed || self.pauses > PauseCount::default() {
            return Some(known);
        }
        Some(known + CONFIRMATION_PATIENCE)
    }

    /// Returns when both routes and targets were known.
    fn lists_known_since(&self) -> Option<MonoTime> {
        let routes = self.routes_sync.known_since()?;
        Some(routes.max(self.directory_sync.known_since()?))
    }

    /// Returns whether the balancer has started a moment ago and the drained zones are not confirmed
    /// yet.
    pub(super) fn awaits_zone_drains(&self, now: MonoTime) -> bool {
        let known = self.lists_known_since();
        self.cfg.zone_drains.enabled
            && self.zone_drains.age(now).is_none()
            && known.is_some_and(|at| now < at + ZONE_DRAINS_PATIENCE)
    }

    /// Returns the verdict for one packet.
    pub fn on_segment(&mut self, now: MonoTime, seg: &Segment) -> Verdict {
        let verdict = match seg.kind {
            SegmentKind::Open { retransmissions } => self.on_open(now, seg, retransmissions),
            SegmentKind::Established | SegmentKind::Close | SegmentKind::Reset => {
                self.on_flow_packet(now, seg)
            }
        };
        self.count_verdict(now, seg, verdict);
        verdict
    }

    /// Returns when [`Steering::tick`] is due.
    pub fn next_tick(&self) -> MonoTime {
        let check = self.gate.next_check();
        let due = check.map_or(self.next_sweep, |check| check.min(self.next_sweep));
        let due = self.next_observation().map_or(due, |at| at.min(due));
        let starts = [self.placing_starts_at(), self.zone_wait_ends_at()];
        let starts = starts.into_iter().flatten();
        starts
            .filter(|at| *at > self.last_tick)
            .fold(due, MonoTime::min)
    }

    /// Does the periodic maintenance if it is due.
    pub fn tick(&mut self, now: MonoTime) {
        self.last_tick = now;
        self.check_waiting(now);
        self.maintain_observations(now);
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let confirmed = self.directory_sync.age(now).map(|age| now - age);
        let (grace, retention) = (self.cfg.lapse_grace, self.cfg.flow_lifetime);
        let gone = self.directory.sweep(now, confirmed, grace, retention);
        for index in gone {
            self.remember_flows(index);
        }
        let lifetime = self.cfg.flow_lifetime;
        self.flows
            .sweep(&mut self.directory, &self.routes, now, lifetime);
        let directory = &self.directory;
        self.flows_without_target.retain(|(_, tag), at| {
            let target = directory.find_by_tag(*tag).and_then(|i| directory.get(i));
            target.is_none_or(|r| matches!(r.presence, Presence::Gone { .. }))
                && now.since(at) < retention
        });
        let routes = Arc::clone(&self.routes);
        self.unknown_routes
            .retain(|_, at| now.since(at) < retention);
        self.flows_without_route
            .retain(|_, at| now.since(at) < retention);
        self.sweep_zone_drains(now);
        self.sweep_warm_up(now);
        self.room.retain_routes(&routes);
        self.update_median_response(now);
        for index in self.directory.dead_targets() {
            self.queue_probe_if_due(now, index);
        }
    }

    fn update_median_response(&mut self, now: MonoTime) {
        let mut times: HashMap<ServiceId, Vec<f32>> = HashMap::new();
        for record in self.directory.records_mut() {
            if let Some(us) = record.response_us(now) {
                times.entry(record.instance.service).or_default().push(us);
            }
        }
        self.median_response_us.clear();
        for (service, mut list) in times {
            list.sort_by(f32::total_cmp);
            self.median_response_us
                .insert(service, list[list.len() / 2]);
        }
    }

    pub(super) fn version(&self) -> Version {
        self.routes.version()
    }

    pub(super) fn record_decision(&mut self, decision: Decision) {
        if self.decisions.len() < DECISION_CAPACITY {
            self.decisions.push(decision);
        }
    }

    /// Returns the time since the first packet without a known route or target on which a reset is
    /// based.
    fn unmatched_for(&self, now: MonoTime, seg: &Segment, reason: ResetReason) -> Option<Duration> {
        let since = match reason {
            ResetReason::NoRoute => match seg.kind {
                SegmentKind::Open { .. } => self.unknown_routes.get(&seg.flow.service)?,
                _ => self.flows_without_route.get(&seg.flow)?,
            },
            ResetReason::UnknownCookie | ResetReason::TargetGone => {
                let tag = seg.cookie.decode(seg.flow.service);
                self.flows_without_target.get(&(seg.flow, tag))?
            }
            _ => return None,
        };
        Some(now.since(since))
    }

    /// Returns the name of the target that the packet's cookie identifies.
    fn target_name(&self, seg: &Segment) -> Option<Box<str>> {
        let tag = seg.cookie.decode(seg.flow.service);
        let index = self.directory.find_by_tag(tag)?;
        let record = self.directory.get(index)?;
        Some(record.instance.name.clone())
    }

    fn count_verdict(&mut self, now: MonoTime, seg: &Segment, verdict: Verdict) {
        let target = match verdict {
            Verdict::Reset { .. } | Verdict::Drop(_) => self.target_name(seg),
            Verdict::Forward { .. } | Verdict::Hold => None,
        };
        let c = &mut self.counters;
        match verdict {
            Verdict::Forward { .. } => match seg.kind {
                SegmentKind::Open { retransmissions: 0 } => c.opened += 1,
                _ => c.forwarded += 1,
            },
            Verdict::Hold => {}
            Verdict::Reset { reason, .. } => {
                *c.reset_mut(reason) += 1;
                let decision = Decision::Reset {
                    flow: seg.flow,
                    reason,
                    target,
                    directory: self.directory.as_of(),
                    directory_age: self.directory_sync.age(now),
                    version: self.version(),
                    configuration_age: self.routes_sync.age(now),
                    unmatched_for: self.unmatched_for(now, seg, reason),
                };
                self.record_decision(decision);
            }
            Verdict::Drop(reason) => {
                *c.dropped_mut(reason) += 1;
                let decision = Decision::Dropped {
                    flow: seg.flow,
                    reason,
                    target,
                    directory_age: self.directory_sync.age(now),
                    configuration_age: self.routes_sync.age(now),
                };
                self.record_decision(decision);
            }
        }
    }
}
