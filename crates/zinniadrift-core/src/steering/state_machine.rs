use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use hashbrown::HashMap;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::ids::ServiceId;
use crate::units::{MonoTime, Version};

use super::cookie::TargetTag;
use super::flow_tracker::FlowTracker;
use super::route_history::RouteHistory;
use super::route_profile::RouteProfile;
use super::unexplained::Unexplained;
use super::zone_health::ZoneHealth;
use super::{
    Decision, Directory, ProbeRequest, Revision, RouteTable, Segment, SegmentKind,
    SteeringCounters, SteeringSettings, SyncStatus, Verdict,
};

/// Decides which target each packet goes to.
///
/// Open flows follow their cookie. New flows go to the target with the least expected wait. A flow
/// is reset only on confirmed knowledge; doubtful packets are dropped, and the caller sends again.
#[derive(Debug)]
pub struct Steering {
    pub(super) cfg: SteeringSettings,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) directory: Directory,
    pub(super) directory_sync: SyncStatus,
    pub(super) routes: Arc<RouteTable>,
    pub(super) routes_sync: SyncStatus,
    pub(super) routes_as_of: Revision,
    pub(super) route_history: RouteHistory,
    pub(super) flows: FlowTracker,
    pub(super) profiles: HashMap<SocketAddrV4, RouteProfile>,
    pub(super) zones: ZoneHealth,
    pub(super) unknown_tags: Unexplained<TargetTag>,
    pub(super) unknown_routes: Unexplained<SocketAddrV4>,
    /// Median time to answer of each service in microseconds.
    pub(super) medians: HashMap<ServiceId, f32>,
    pub(super) next_sweep: MonoTime,
    /// When any target last showed a sign of life to this balancer.
    pub(super) last_answer: MonoTime,
    pub(super) probes: Vec<ProbeRequest>,
    pub(super) counters: SteeringCounters,
    pub(super) decisions: Vec<Decision>,
}

/// The pause between two rounds of upkeep.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
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
            directory_sync: SyncStatus::default(),
            routes: Arc::default(),
            routes_sync: SyncStatus::default(),
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
    pub const fn directory_sync(&self) -> &SyncStatus {
        &self.directory_sync
    }

    /// Returns how current the configuration is.
    pub const fn routes_sync(&self) -> &SyncStatus {
        &self.routes_sync
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
    pub fn take_response_times(&mut self) -> impl Iterator<Item = (ServiceId, Duration)> + '_ {
        self.flows.take_times()
    }

    /// Tells whether new flows can be placed: the routes and the targets are known.
    pub fn can_place(&self) -> bool {
        self.routes_sync.known_since().is_some() && self.directory_sync.known_since().is_some()
    }

    /// Decides about one packet.
    pub fn on_segment(&mut self, now: MonoTime, seg: &Segment) -> Verdict {
        let verdict = match seg.kind {
            SegmentKind::Open { retransmissions } => self.on_open(now, seg, retransmissions),
            SegmentKind::Data | SegmentKind::Close | SegmentKind::Reset => {
                self.on_flow_packet(now, seg)
            }
        };
        self.count(now, seg, verdict);
        verdict
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
        let confirmed = self.directory_sync.age(now).map(|age| now - age);
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

    pub(super) fn version(&self) -> Version {
        self.routes.version()
    }

    pub(super) fn note(&mut self, decision: Decision) {
        if self.decisions.len() < DECISION_CAPACITY {
            self.decisions.push(decision);
        }
    }

    fn count(&mut self, now: MonoTime, seg: &Segment, verdict: Verdict) {
        let c = &mut self.counters;
        match verdict {
            Verdict::Forward { .. } => match seg.kind {
                SegmentKind::Open { retransmissions: 0 } => c.opened += 1,
                _ => c.forwarded += 1,
            },
            Verdict::Reset { reason, .. } => {
                *c.reset_mut(reason) += 1;
                let decision = Decision::Reset {
                    flow: seg.flow,
                    reason,
                    directory: self.directory.as_of(),
                    directory_age: self.directory_sync.age(now),
                    version: self.version(),
                };
                self.note(decision);
            }
            Verdict::Drop(reason) => {
                *c.dropped_mut(reason) += 1;
                let decision = Decision::Dropped {
                    flow: seg.flow,
                    reason,
                    directory_age: self.directory_sync.age(now),
                    configuration_age: self.routes_sync.age(now),
                };
                self.note(decision);
            }
        }
    }
}
