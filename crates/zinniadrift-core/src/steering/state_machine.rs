use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::flow::FlowKey;
use crate::ids::ServiceId;
use crate::units::{MonoTime, Version};

use super::choice::{Candidate, pick_least};
use super::cookie::TargetTag;
use super::directory::TargetIndex;
use super::flow_tracker::FlowTracker;
use super::route_history::RouteHistory;
use super::route_profile::RouteProfile;
use super::target_state::{Presence, TargetRecord};
use super::tracked_flow::FlowPhase;
use super::unexplained::Unexplained;
use super::zone_health::ZoneHealth;
use super::{
    Cookie, Decision, Directory, DirectoryListing, DropReason, Knowledge, KnownState, PeerUpdate,
    ProbeResult, ResetReason, Revision, Route, RouteTable, Segment, SegmentKind, SteeringCounters,
    SteeringSettings, TargetChange, TargetNews, Verdict,
};

/// Asks for a probe of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetProbe {
    /// The target's name.
    pub name: Box<str>,
    /// Where to connect to.
    pub address: SocketAddrV4,
}

/// Is a flow to reset because its target is dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AbandonedFlow {
    /// The flow.
    pub flow: FlowKey,
    /// A sequence number that the caller accepts.
    pub seq: u32,
}

/// Is the outcome of a choice for a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Placement {
    At(TargetIndex),
    /// Every target that could take the flow is at its limit.
    Full,
    NoTarget,
}

/// Decides which target each packet goes to.
///
/// Open flows follow their cookie. New flows go to the target with the least expected wait. A flow
/// is reset only on confirmed knowledge; doubtful packets are dropped, and the caller sends again.
#[derive(Debug)]
pub struct Steering {
    cfg: SteeringSettings,
    rng: Xoshiro256PlusPlus,
    directory: Directory,
    directory_known: Knowledge,
    routes: Arc<RouteTable>,
    routes_known: Knowledge,
    routes_as_of: Revision,
    route_history: RouteHistory,
    flows: FlowTracker,
    profiles: HashMap<SocketAddrV4, RouteProfile>,
    zones: ZoneHealth,
    unknown_tags: Unexplained<TargetTag>,
    unknown_routes: Unexplained<SocketAddrV4>,
    /// Median time to answer of each service in microseconds.
    medians: HashMap<ServiceId, f32>,
    next_sweep: MonoTime,
    /// When any target last showed a sign of life to this balancer.
    last_answer: MonoTime,
    probes: Vec<TargetProbe>,
    counters: SteeringCounters,
    decisions: Vec<Decision>,
}

/// The pause between two rounds of upkeep.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// The weight of an open but idle long flow in a target's load: the share of time in which such a
/// flow has a request at work, 1 request of 50 ms a second.
const IDLE_FLOW_LOAD: f32 = 0.05;
/// How much longer a target works on a request before it has warmed up.
const COLD_SLOWNESS: f32 = 1.6;
/// The largest slowness that is believed; beyond it the target is only chosen last anyway.
const MAX_SLOWNESS: f32 = 8.0;
/// What another availability zone costs, in requests at work a slot: the way is longer.
const ZONE_DISTANCE: f32 = 0.15;
/// Upload bytes to another zone that cost as much as one request at work a slot.
const BYTES_PER_DISTANCE: f32 = 20_000.0;
/// How many times more long flows a target of the own zone carries before one of another zone gets
/// a flow, unless all its slots are at work. Flows within a zone survive a cut between zones.
const LONG_FLOW_REMOTENESS: f32 = 8.0;
/// The last priority that counts as urgent; 0 is the highest.
const LAST_URGENT_PRIORITY: u8 = 1;
/// The time without an answer from any target after which the balancer itself may be cut off.
///
/// On the smallest site a balancer sees an answer every 20 ms.
const CUT_OFF_AFTER: Duration = Duration::from_millis(500);
/// The number of probes that wait to be made.
const PROBE_CAPACITY: usize = 16;
/// The number of decisions kept for the log between two calls of `take_decisions`.
const DECISION_CAPACITY: usize = 256;

impl Steering {
    /// Returns a balancer without any knowledge.
    pub fn new(cfg: SteeringSettings, seed: u64) -> Self {
        Self {
            flows: FlowTracker::new(cfg.tracked_flows),
            cfg,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            directory: Directory::default(),
            directory_known: Knowledge::default(),
            routes: Arc::default(),
            routes_known: Knowledge::default(),
            routes_as_of: Revision::default(),
            route_history: RouteHistory::default(),
            profiles: HashMap::new(),
            zones: ZoneHealth::default(),
            unknown_tags: Unexplained::new(),
            unknown_routes: Unexplained::new(),
            medians: HashMap::new(),
            next_sweep: MonoTime::default(),
            last_answer: MonoTime::default(),
            probes: Vec::new(),
            counters: SteeringCounters::default(),
            decisions: Vec::new(),
        }
    }

    /// Replaces the settings; the number of observed flows keeps its first limit.
    pub fn set_settings(&mut self, cfg: SteeringSettings) {
        self.cfg = cfg;
    }

    /// Returns what was decided since the start.
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
    pub const fn directory_known(&self) -> &Knowledge {
        &self.directory_known
    }

    /// Returns how current the configuration is.
    pub const fn routes_known(&self) -> &Knowledge {
        &self.routes_known
    }

    /// Returns the number of observed flows.
    pub fn tracked_flows(&self) -> usize {
        self.flows.len()
    }

    /// Takes the decisions since the last call, for the log.
    pub fn take_decisions(&mut self) -> impl Iterator<Item = Decision> + '_ {
        self.decisions.drain(..)
    }

    /// Takes the times from requests to answers since the last call, by service.
    pub fn take_answer_times(&mut self) -> impl Iterator<Item = (ServiceId, Duration)> + '_ {
        self.flows.take_times()
    }

    /// Tells whether new flows can be placed: the routes and the targets are known.
    pub fn can_place(&self) -> bool {
        self.routes_known.since().is_some() && self.directory_known.since().is_some()
    }

    /// Takes a full list of the targets that was true at `confirmed`.
    ///
    /// Without that time the list may be seconds old; it is used, but no ground for refusals.
    pub fn on_listing(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        listing: DirectoryListing,
    ) {
        let Some(news) = self.directory.replace(listing, now) else {
            return;
        };
        match confirmed {
            Some(at) => self.directory_known.confirm(at),
            None => self.directory_known.learn(now),
        }
        self.note_changes(&news);
    }

    /// Takes changes of the list of targets up to `as_of`, which was the newest at `confirmed`.
    pub fn on_changes(
        &mut self,
        now: MonoTime,
        confirmed: MonoTime,
        changes: Vec<TargetChange>,
        as_of: Revision,
    ) {
        if as_of < self.directory.as_of() {
            return;
        }
        let news = self.directory.apply(changes, as_of, now);
        self.directory_known.confirm(confirmed);
        self.note_changes(&news);
    }

    /// Takes the news of a peer.
    pub fn on_peer_update(&mut self, now: MonoTime, update: PeerUpdate) {
        let directory_at = now - update.directory_age;
        match update.targets {
            TargetNews::All(listing) => self.on_listing(now, Some(directory_at), listing),
            TargetNews::Changes(changes) => {
                self.on_changes(now, directory_at, changes, update.known.targets);
            }
        }
        let routes_at = now - update.routes_age;
        let routes = Arc::clone(&self.routes);
        match update.routes.and_then(|delta| delta.apply(&routes)) {
            Some(table) => {
                self.on_routes(now, Some(routes_at), update.known.routes, Arc::new(table));
            }
            None if update.known.version == routes.version() => {
                self.confirm_routes(routes_at, update.known.routes);
            }
            None => {}
        }
    }

    /// Returns what this balancer knows, to ask a peer for the rest.
    pub fn known(&self) -> KnownState {
        KnownState {
            targets: self.directory.as_of(),
            routes: self.routes_as_of,
            version: self.routes.version(),
        }
    }

    /// Returns what a peer that knows `known` misses; `None` while this balancer knows nothing.
    pub fn update_for(&self, now: MonoTime, known: KnownState) -> Option<PeerUpdate> {
        let directory_age = self.directory_known.age(now)?;
        let routes_age = self.routes_known.age(now)?;
        let targets = match self.directory.changes_since(known.targets) {
            Some(changes) => TargetNews::Changes(changes),
            None => TargetNews::All(self.directory.listing()),
        };
        Some(PeerUpdate {
            known: self.known(),
            directory_age,
            routes_age,
            targets,
            routes: self.route_history.delta(known.version),
        })
    }

    fn note_changes(&mut self, news: &[TargetChange]) {
        let as_of = self.directory.as_of();
        for change in news {
            self.note_change(change, as_of);
        }
    }

    fn note_change(&mut self, change: &TargetChange, directory: Revision) {
        if let TargetChange::Put(instance) = change {
            self.note(Decision::Target {
                target: instance.name.clone(),
                service: instance.service,
                address: instance.address,
                state: match instance.state {
                    super::InstanceState::Ready => "ready",
                    super::InstanceState::Draining => "draining",
                },
                directory,
            });
        }
        if let TargetChange::Removed(name) = change {
            let index = self.directory.find(TargetTag::from_name(name));
            let Some(record) = index.and_then(|i| self.directory.get(i)) else {
                return;
            };
            let decision = Decision::Target {
                target: name.clone(),
                service: record.instance.service,
                address: record.instance.address,
                state: "removed",
                directory,
            };
            self.note(decision);
        }
    }

    /// Takes the configuration of the store's revision `as_of`, the newest at `confirmed`.
    ///
    /// A lower version than the one in force is ignored.
    pub fn on_routes(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        as_of: Revision,
        table: Arc<RouteTable>,
    ) {
        if table.version() < self.routes.version() {
            return;
        }
        if table.version() > self.routes.version() {
            self.put_in_force(table);
        }
        self.routes_known.learn(now);
        match confirmed {
            Some(at) => self.confirm_routes(at, as_of),
            None => self.routes_as_of = self.routes_as_of.max(as_of),
        }
    }

    fn put_in_force(&mut self, table: Arc<RouteTable>) {
        self.note(Decision::Configured {
            version: table.version(),
            routes: table.len(),
        });
        self.profiles
            .retain(|address, _| table.get(*address).is_some());
        self.route_history.push(Arc::clone(&table));
        self.routes = table;
    }

    /// Records that the configuration in force is the newest up to `as_of`.
    ///
    /// Before the first configuration there is nothing to confirm.
    pub fn confirm_routes(&mut self, confirmed: MonoTime, as_of: Revision) {
        if self.routes.version() == Version::default() {
            return;
        }
        self.routes_as_of = self.routes_as_of.max(as_of);
        self.routes_known.confirm(confirmed);
    }

    /// Records that the process stood still, so that its knowledge may be outdated.
    pub fn on_pause(&mut self, now: MonoTime) {
        self.directory_known.doubt();
        self.routes_known.doubt();
        self.next_sweep = now;
    }

    /// Decides about one packet.
    pub fn on_segment(&mut self, now: MonoTime, seg: &Segment) -> Verdict {
        let verdict = match seg.kind {
            SegmentKind::Open { copies } => self.on_open(now, seg, copies),
            SegmentKind::Middle | SegmentKind::Close | SegmentKind::Reset => {
                self.on_flow_packet(now, seg)
            }
        };
        self.count(now, seg, verdict);
        verdict
    }

    fn on_open(&mut self, now: MonoTime, seg: &Segment, copies: u32) -> Verdict {
        let routes = Arc::clone(&self.routes);
        let Some(route) = routes.get(seg.flow.service) else {
            return self.without_route(now, seg);
        };
        let unanswered = self.unanswered_target(now, seg, copies);
        let avoid = unanswered.and_then(|i| self.flows.get(&seg.flow).map(|f| (i, f.tried)));
        let index = match self.place(now, route, avoid) {
            Placement::At(index) => index,
            Placement::Full => return reset(seg, ResetReason::Overloaded),
            Placement::NoTarget => return self.without_target(now, seg),
        };
        if unanswered.is_some_and(|i| i != index) {
            self.counters.moved += 1;
        }
        self.note_placement(seg, copies, index, unanswered);
        self.flows.open(&mut self.directory, now, seg, index);
        self.forward(seg, index)
    }

    /// Returns the target that left the copy before without an answer, and remembers its silence.
    fn unanswered_target(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        copies: u32,
    ) -> Option<TargetIndex> {
        if copies == 0 {
            return None;
        }
        let flow = self.flows.get(&seg.flow)?;
        if flow.phase != FlowPhase::Opening {
            return None;
        }
        let index = flow.target;
        let record = self.directory.get_mut(index)?;
        record.note_silence(now, self.cfg.suspect_for);
        let zone = record.instance.zone.clone();
        self.ask_for_probe(now, index);
        if zone != self.cfg.zone {
            self.zones.note_silence(&zone, index, now);
        }
        Some(index)
    }

    fn place(
        &mut self,
        now: MonoTime,
        route: &Route,
        avoid: Option<(TargetIndex, Option<TargetIndex>)>,
    ) -> Placement {
        let profile = *self
            .profiles
            .entry(route.address)
            .or_insert_with(|| RouteProfile::expected(route));
        let Some(service) = self.pick_service(route) else {
            return Placement::NoTarget;
        };
        let queue_limit = self.queue_limit(route);
        let (mut trusted, mut suspects, mut tried) = (Vec::new(), Vec::new(), Vec::new());
        let lapsed_count = self.count_lapsed(service);
        for &index in self.directory.of_service(service) {
            let Some(record) = self.directory.get(index) else {
                continue;
            };
            let usable = record.is_open() || (lapsed_count && may_live(record));
            if !usable || !self.directory.owns_tag(index) {
                continue;
            }
            let is_full = record.busy >= u32::from(record.instance.slots) + queue_limit;
            let zone_avoided = self.zones.is_avoided(&record.instance.zone, now);
            let was_tried = avoid.is_some_and(|(a, b)| a == index || b == Some(index));
            let group = if was_tried {
                &mut tried
            } else if zone_avoided || record.is_suspect(now) {
                &mut suspects
            } else {
                &mut trusted
            };
            group.push((is_full, self.candidate(now, index, record, &profile)));
        }
        // A silent target is no way out while those that answer are full.
        let group = [trusted, suspects, tried]
            .into_iter()
            .find(|g| !g.is_empty());
        let Some(group) = group else {
            return Placement::NoTarget;
        };
        let with_room = group.iter().filter(|(is_full, _)| !is_full);
        let with_room: Vec<Candidate> = with_room.map(|(_, c)| *c).collect();
        pick_least(&with_room, &mut self.rng).map_or(Placement::Full, Placement::At)
    }

    /// Returns how many requests may wait at a target before it gets no new flow of `route`.
    ///
    /// Less urgent routes are refused first, so that a burst leaves room for urgent ones.
    fn queue_limit(&self, route: &Route) -> u32 {
        if route.priority <= LAST_URGENT_PRIORITY {
            self.cfg.queue_limit
        } else {
            self.cfg.queue_limit * 3 / 4
        }
    }

    /// Tells whether more of a service's targets have lapsed than are listed.
    ///
    /// That happens when entries expired during an outage of the store; most of these targets live.
    fn count_lapsed(&self, service: ServiceId) -> bool {
        let records = self.directory.of_service(service);
        let records = records.iter().filter_map(|i| self.directory.get(*i));
        let (mut open, mut lapsed) = (0, 0);
        for record in records {
            open += usize::from(record.is_open());
            lapsed += usize::from(may_live(record));
        }
        lapsed > open
    }

    fn candidate(
        &self,
        now: MonoTime,
        index: TargetIndex,
        record: &TargetRecord,
        profile: &RouteProfile,
    ) -> Candidate {
        let load = record.load() as f32;
        let flows = record.flows as f32;
        let load = if profile.has_long_flows() {
            flows
        } else {
            load + IDLE_FLOW_LOAD * flows
        };
        let cold = if now < record.warm_at {
            COLD_SLOWNESS
        } else {
            1.0
        };
        let median = self.medians.get(&record.instance.service);
        let slowness = match (record.answer_us(now), median) {
            (Some(us), Some(median)) if *median > 0.0 => (us / median).clamp(1.0, MAX_SLOWNESS),
            _ => 1.0,
        };
        let is_near = record.instance.zone == self.cfg.zone;
        let distance = if is_near {
            0.0
        } else {
            ZONE_DISTANCE + profile.bytes_per_flow() / BYTES_PER_DISTANCE
        };
        let is_crowded = record.busy >= u32::from(record.instance.slots);
        let remoteness = if profile.has_long_flows() && (!is_near || is_crowded) {
            LONG_FLOW_REMOTENESS
        } else {
            1.0
        };
        Candidate {
            index,
            load,
            slots: f32::from(record.instance.slots),
            slowness: slowness.max(cold),
            distance,
            remoteness,
        }
    }

    /// Picks one of the route's services by weight, among those with a target.
    fn pick_service(&mut self, route: &Route) -> Option<ServiceId> {
        let usable = |service: ServiceId| !self.directory.of_service(service).is_empty();
        if let [only] = route.backends.as_slice() {
            return usable(only.service).then_some(only.service);
        }
        let backends = || {
            route
                .backends
                .iter()
                .filter(|b| b.weight > 0 && usable(b.service))
        };
        let total: u64 = backends().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = self.rng.random_range(0..total);
        for backend in backends() {
            let weight = u64::from(backend.weight);
            if point < weight {
                return Some(backend.service);
            }
            point -= weight;
        }
        None
    }

    fn without_route(&mut self, now: MonoTime, seg: &Segment) -> Verdict {
        let since = self.unknown_routes.since(seg.flow.service, now);
        let margin = match seg.kind {
            SegmentKind::Open { .. } => Duration::ZERO,
            // Another balancer may have opened the flow on a route that is not known here yet.
            _ => self.cfg.lapse_grace,
        };
        if seg.kind == SegmentKind::Reset {
            return Verdict::Drop(DropReason::NothingToReset);
        }
        if self.confirmed_after(&self.routes_known, now, since + margin) {
            return reset(seg, ResetReason::NoRoute);
        }
        Verdict::Drop(DropReason::RouteUnknown)
    }

    fn without_target(&self, now: MonoTime, seg: &Segment) -> Verdict {
        if self.directory_known.is_fresh(now, self.cfg.fresh_for) {
            return reset(seg, ResetReason::NoTarget);
        }
        Verdict::Drop(DropReason::DirectoryStale)
    }

    fn on_flow_packet(&mut self, now: MonoTime, seg: &Segment) -> Verdict {
        if self.routes.get(seg.flow.service).is_none() {
            self.flows.end(&mut self.directory, &seg.flow);
            return self.without_route(now, seg);
        }
        if seg.cookie == Cookie::NONE {
            return Verdict::Drop(DropReason::NoCookie);
        }
        let tag = seg.cookie.open(seg.flow.service);
        let Some(index) = self.directory.find(tag) else {
            return self.unknown_cookie(now, seg, tag);
        };
        if let Some(reason) = self.directory.get(index).and_then(end_of) {
            self.end_flow(seg);
            return match seg.kind {
                SegmentKind::Reset => Verdict::Drop(DropReason::NothingToReset),
                _ => reset(seg, reason),
            };
        }
        if self.directory.get(index).is_some_and(may_live) {
            self.counters.forwarded_lapsed += 1;
        }
        self.observe(now, seg, index);
        self.forward(seg, index)
    }

    fn unknown_cookie(&mut self, now: MonoTime, seg: &Segment, tag: TargetTag) -> Verdict {
        if seg.kind == SegmentKind::Reset {
            return Verdict::Drop(DropReason::NothingToReset);
        }
        let since = self.unknown_tags.since(tag, now);
        let certain = since + self.cfg.lapse_grace;
        if self.confirmed_after(&self.directory_known, now, certain) {
            return reset(seg, ResetReason::UnknownCookie);
        }
        Verdict::Drop(DropReason::DirectoryStale)
    }

    /// Tells whether `known` is fresh and was confirmed after `at`.
    fn confirmed_after(&self, known: &Knowledge, now: MonoTime, at: MonoTime) -> bool {
        known
            .age(now)
            .is_some_and(|age| age <= self.cfg.fresh_for && now >= at + age)
    }

    fn observe(&mut self, now: MonoTime, seg: &Segment, index: TargetIndex) {
        match seg.kind {
            SegmentKind::Close | SegmentKind::Reset => self.end_flow(seg),
            _ => {
                let answered = self.flows.pass(&mut self.directory, now, seg, index);
                if answered {
                    self.note_answer(now, index);
                } else {
                    self.ask_for_probe(now, index);
                }
            }
        }
    }

    fn note_answer(&mut self, now: MonoTime, index: TargetIndex) {
        self.last_answer = now;
        if let Some(record) = self.directory.get(index)
            && record.instance.zone != self.cfg.zone
        {
            self.zones.note_answer(&record.instance.zone);
        }
    }

    /// Asks for a probe of a target whose callers repeat their packets.
    fn ask_for_probe(&mut self, now: MonoTime, index: TargetIndex) {
        let Some(record) = self.directory.get_mut(index) else {
            return;
        };
        if record.liveness.wants_probe(now) && self.probes.len() < PROBE_CAPACITY {
            self.probes.push(TargetProbe {
                name: record.instance.name.clone(),
                address: record.instance.address,
            });
        }
    }

    /// Takes the probes to make.
    pub fn take_probes(&mut self) -> impl Iterator<Item = TargetProbe> + '_ {
        self.probes.drain(..)
    }

    /// Takes the result of a probe and returns the flows to reset.
    ///
    /// A probe that fails while this balancer hears from no target at all says nothing about the
    /// target: the balancer itself may be cut off. Nor do probes that fail for most targets of a
    /// service: then it is rather the probes that cannot get through.
    pub fn on_probe(
        &mut self,
        now: MonoTime,
        name: &str,
        result: ProbeResult,
    ) -> Vec<AbandonedFlow> {
        let Some(index) = self.directory.find_name(name) else {
            return Vec::new();
        };
        let cut_off = now.since(self.last_answer) > CUT_OFF_AFTER;
        let doubtful = cut_off || self.directory.is_mostly_dead_without(index);
        let result = match result {
            ProbeResult::Refused | ProbeResult::Silent if doubtful => ProbeResult::NotMade,
            other => other,
        };
        let Some(record) = self.directory.get_mut(index) else {
            return Vec::new();
        };
        let died = record.liveness.on_probe(result);
        let dead = record.liveness.is_dead();
        self.note(Decision::Probed {
            target: name.into(),
            result,
            dead,
        });
        if !died {
            return Vec::new();
        }
        let abandoned = self.flows.abandon(&mut self.directory, index);
        self.counters.reset_target_silent += abandoned.len() as u64;
        let abandoned = abandoned.into_iter();
        abandoned
            .map(|(flow, seq)| AbandonedFlow { flow, seq })
            .collect()
    }

    fn end_flow(&mut self, seg: &Segment) {
        let ended = self.flows.close(&mut self.directory, &seg.flow);
        let profile = self.profiles.get_mut(&seg.flow.service);
        if let (Some(flow), Some(profile)) = (ended, profile) {
            profile.learn(flow);
        }
    }

    fn forward(&self, seg: &Segment, index: TargetIndex) -> Verdict {
        let Some(record) = self.directory.get(index) else {
            return Verdict::Drop(DropReason::DirectoryStale);
        };
        let tag = TargetTag::from_name(&record.instance.name);
        Verdict::Forward {
            to: record.instance.address,
            guard: record.instance.guard,
            cookie: Cookie::seal(tag, seg.flow.service),
        }
    }

    /// Returns when [`Steering::tick`] is due.
    pub const fn next_tick(&self) -> MonoTime {
        self.next_sweep
    }

    /// Does the upkeep that is due.
    pub fn tick(&mut self, now: MonoTime) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_EVERY;
        let confirmed = self.directory_known.age(now).map(|age| now - age);
        let (grace, memory) = (self.cfg.lapse_grace, self.cfg.flow_lifetime);
        self.directory.sweep(now, confirmed, grace, memory);
        let idle = match self.routes.idle_timeout() {
            Duration::ZERO => self.cfg.flow_lifetime,
            timeout => timeout,
        };
        self.flows.sweep(&mut self.directory, now, idle);
        let directory = &self.directory;
        self.unknown_tags
            .retain(|tag, at| directory.find(*tag).is_none() && now.since(at) < memory);
        let routes = Arc::clone(&self.routes);
        self.unknown_routes
            .retain(|address, at| routes.get(*address).is_none() && now.since(at) < memory);
        self.update_medians(now);
        for index in self.directory.dead_targets() {
            self.ask_for_probe(now, index);
        }
    }

    fn update_medians(&mut self, now: MonoTime) {
        let mut times: HashMap<ServiceId, Vec<f32>> = HashMap::new();
        for record in self.directory.records_mut() {
            if let Some(us) = record.answer_us(now) {
                times.entry(record.instance.service).or_default().push(us);
            }
        }
        self.medians.clear();
        for (service, mut list) in times {
            list.sort_by(f32::total_cmp);
            self.medians.insert(service, list[list.len() / 2]);
        }
    }

    fn note_placement(
        &mut self,
        seg: &Segment,
        copies: u32,
        index: TargetIndex,
        unanswered: Option<TargetIndex>,
    ) {
        let name = |i: TargetIndex| self.directory.get(i).map(|r| r.instance.name.clone());
        let Some(record) = self.directory.get(index) else {
            return;
        };
        let decision = Decision::Placed {
            flow: seg.flow,
            target: record.instance.name.clone(),
            copies,
            instead_of: unanswered.and_then(name),
            busy: record.load(),
            directory: self.directory.as_of(),
            version: self.version(),
        };
        self.note(decision);
    }

    fn version(&self) -> Version {
        self.routes.version()
    }

    fn note(&mut self, decision: Decision) {
        if self.decisions.len() < DECISION_CAPACITY {
            self.decisions.push(decision);
        }
    }

    fn count(&mut self, now: MonoTime, seg: &Segment, verdict: Verdict) {
        let c = &mut self.counters;
        match verdict {
            Verdict::Forward { .. } => match seg.kind {
                SegmentKind::Open { copies: 0 } => c.opened += 1,
                _ => c.forwarded += 1,
            },
            Verdict::Reset { reason, .. } => {
                *c.reset_mut(reason) += 1;
                let decision = Decision::Reset {
                    flow: seg.flow,
                    reason,
                    directory: self.directory.as_of(),
                    directory_age: self.directory_known.age(now),
                    version: self.version(),
                };
                self.note(decision);
            }
            Verdict::Drop(reason) => {
                *c.dropped_mut(reason) += 1;
                let decision = Decision::Dropped {
                    flow: seg.flow,
                    reason,
                    directory_age: self.directory_known.age(now),
                    configuration_age: self.routes_known.age(now),
                };
                self.note(decision);
            }
        }
    }
}

fn reset(seg: &Segment, reason: ResetReason) -> Verdict {
    Verdict::Reset {
        seq: seg.ack,
        reason,
    }
}

/// Returns why flows of the target end, if they do.
fn end_of(record: &TargetRecord) -> Option<ResetReason> {
    if matches!(record.presence, Presence::Gone { .. }) {
        return Some(ResetReason::TargetGone);
    }
    record
        .liveness
        .is_dead()
        .then_some(ResetReason::TargetSilent)
}

fn may_live(record: &TargetRecord) -> bool {
    matches!(record.presence, Presence::Lapsed { .. })
}
