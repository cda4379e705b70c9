use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use hashbrown::HashMap;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::sync::Change;
use super::{
    BalancerAction, BalancerEvent, BalancerSettings, BaseSet, Counters, Handover, Held, Outbox,
    PeerMessage, Publisher, RebasePhase, ServiceState, SnapshotSource, Sync, SyncLossReason,
    TargetReport, TimelineEvent,
};
use crate::ids::{MemberId, ServiceId};
use crate::membership::{LifeCycle, LifeCycleState, MemberState, Peers};
use crate::placement::TokenBucket;
use crate::settings::ServiceCatalog;
use crate::units::{HybridClock, MonoTime, Version};

/// The time over which unused optional exceptions add up, in seconds.
const OPTIONAL_BURST_S: f64 = 10.0;

/// Chooses the target of each packet that one balancer receives.
#[derive(Debug)]
pub struct Balancer {
    pub(super) cfg: BalancerSettings,
    pub(super) catalog: Arc<ServiceCatalog>,
    pub(super) counters: Counters,
    pub(super) by_address: HashMap<SocketAddrV4, usize>,
    /// The services, sorted by id.
    pub(super) services: Vec<ServiceState>,
    /// Limits the optional exceptions of each service.
    pub(super) optional: Vec<TokenBucket>,
    /// Limits the optional exceptions of all services together.
    pub(super) optional_total: TokenBucket,
    pub(super) peers: Peers,
    pub(super) publisher: Publisher,
    pub(super) held: Held,
    pub(super) handover: Handover,
    pub(super) sync: Sync,
    pub(super) stage: LifeCycleState,
    pub(super) clock: HybridClock,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) sources: Vec<SnapshotSource>,
    /// Base sets of services that the settings do not name yet.
    pub(super) known_bases: Vec<BaseSet>,
    /// Whether pins were lost because the settings in force do not name their service.
    pub(super) lacks_pins: bool,
    pub(super) rebase_bytes: TokenBucket,
    pub(super) rebase_due: MonoTime,
    pub(super) started: bool,
    /// The last time at which the process is known to have run.
    pub(super) last_run: MonoTime,
    pub(super) heartbeat_due: MonoTime,
    pub(super) heartbeats: u64,
    pub(super) last_heartbeat: MonoTime,
    pub(super) sweep_at: usize,
    pub(super) bases_differ_since: Option<MonoTime>,
}

impl Balancer {
    /// Returns a balancer that has no settings yet.
    pub fn new(cfg: BalancerSettings) -> Self {
        let handover = Handover::new(cfg.handover_bytes_per_s);
        let optional_total = bucket_of(cfg.optional_publish_rate);
        let rebase_bytes = TokenBucket::new(cfg.rebase_bytes_per_s, 1.0);
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(cfg.seed),
            cfg,
            catalog: Arc::default(),
            counters: Counters::default(),
            by_address: HashMap::new(),
            services: Vec::new(),
            optional: Vec::new(),
            optional_total,
            peers: Peers::default(),
            publisher: Publisher::default(),
            held: Held::default(),
            handover,
            sync: Sync::new(MonoTime::default()),
            stage: LifeCycleState::Starting(LifeCycle::new()),
            clock: HybridClock::default(),
            sources: Vec::new(),
            known_bases: Vec::new(),
            lacks_pins: false,
            rebase_bytes,
            rebase_due: MonoTime::default(),
            started: false,
            last_run: MonoTime::default(),
            heartbeat_due: MonoTime::default(),
            heartbeats: 0,
            last_heartbeat: MonoTime::default(),
            sweep_at: 0,
            bases_differ_since: None,
        }
    }

    /// Returns the version of the settings in force.
    pub fn version(&self) -> Version {
        self.catalog.version
    }

    /// Returns the settings in force.
    pub fn catalog(&self) -> &Arc<ServiceCatalog> {
        &self.catalog
    }

    /// Returns this member's configuration.
    pub fn settings(&self) -> &BalancerSettings {
        &self.cfg
    }

    /// Returns this member's life-cycle state.
    pub fn state(&self) -> MemberState {
        self.stage.state()
    }

    /// Tells whether this member holds every publication that it knows of.
    pub fn is_synchronised(&self) -> bool {
        self.sync.is_done()
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the UDP address of a peer.
    pub fn address_of(&self, peer: MemberId) -> Option<SocketAddr> {
        self.peers.get(peer).map(|p| p.address)
    }

    /// Returns the peers that count as alive.
    pub fn live_peers(&self) -> Vec<MemberId> {
        self.peers.live().map(|p| p.id).collect()
    }

    /// Returns the number of flows that this member remembers.
    pub fn flow_count(&self) -> usize {
        self.services.iter().map(|s| s.flows.len()).sum()
    }

    /// Returns the number of remembered flows that the base table does not reproduce.
    ///
    /// It examines every flow.
    pub fn exception_count(&self) -> usize {
        let exceptions = self.services.iter().map(|s| s.exceptions().count());
        exceptions.sum()
    }

    /// Returns the phase of a service's rebase.
    pub fn rebase_phase(&self, service: ServiceId) -> RebasePhase {
        let found = self.services.iter().find(|s| s.id == service);
        found.map_or(RebasePhase::Settled, ServiceState::phase)
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, event: BalancerEvent, out: &mut Vec<BalancerAction>) {
        self.note_running(now, out);
        match event {
            BalancerEvent::Peer {
                from,
                incarnation,
                msg,
            } => self.on_message(now, from, incarnation, msg, out),
            BalancerEvent::Settings(catalog) => self.install(now, catalog, out),
            BalancerEvent::Hosts(hosts) => {
                self.peers.add_hosts(self.cfg.member, &hosts);
                self.heartbeat_due = now;
            }
            BalancerEvent::Report(report) => self.on_report(now, &report, out),
            BalancerEvent::Tick => {}
            BalancerEvent::Leave => {
                self.stage = self.stage.leave(now, self.cfg.drain_deadline);
                self.state_changed(now, out);
            }
        }
        self.poll(now, out);
    }

    /// Returns the next time at which a `Tick` is needed.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        if self.state() == MemberState::Stopped {
            return None;
        }
        let rebasing = self.services.iter().any(|s| s.rebase.is_some());
        let deadlines = [
            Some(self.heartbeat_due),
            self.publisher.next_deadline(),
            self.sync.next_deadline(&self.peers),
            self.peers.next_expiry(self.cfg.dead_timeout),
            self.leave_at(),
            self.handover_due(),
            rebasing.then_some(self.rebase_due),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Notes that the process runs, and detects that it did not for a while.
    pub(super) fn note_running(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        if !self.started {
            self.started = true;
            let wall = u64::from(self.cfg.incarnation);
            self.clock = HybridClock::new(wall, now);
            self.sync
                .restart(now + self.cfg.join_timeout, super::SyncLossReason::Joined);
            self.heartbeat_due = now;
        } else if now.since(self.last_run) >= self.cfg.dead_timeout {
            self.on_pause(now, out);
        }
        self.last_run = now;
    }

    pub(super) fn outbox<'a>(
        counters: &'a mut Counters,
        out: &'a mut Vec<BalancerAction>,
    ) -> Outbox<'a> {
        Outbox { out, counters }
    }

    /// Reports a new life-cycle state to the driver and the peers.
    pub(super) fn state_changed(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        let state = self.state();
        out.push(BalancerAction::Timeline(TimelineEvent::State(state)));
        out.push(BalancerAction::StateChanged(state));
        self.heartbeat_due = now;
    }

    fn install(
        &mut self,
        now: MonoTime,
        catalog: Arc<ServiceCatalog>,
        out: &mut Vec<BalancerAction>,
    ) {
        let version = catalog.version;
        let lower = version < self.version();
        if version == self.version() || (lower && self.cfg.mechanisms.version_check) {
            self.counters.stale_settings += u64::from(lower);
            return;
        }
        let mut old = std::mem::take(&mut self.services);
        for s in &catalog.services {
            let state = match old.iter().position(|o| o.id == s.id) {
                Some(i) => {
                    let mut state = old.swap_remove(i);
                    state.configure(now, s, version, true);
                    state
                }
                None => self.new_service(now, s, version),
            };
            self.services.push(state);
        }
        self.services.sort_by_key(|s| s.id);
        let addresses = self.services.iter().enumerate();
        self.by_address = addresses.map(|(i, s)| (s.address, i)).collect();
        let rates = self.services.iter().map(|s| s.policies.publish_rate);
        self.optional = rates.map(bucket_of).collect();
        self.catalog = catalog;
        out.push(BalancerAction::Timeline(TimelineEvent::Settings(version)));
        out.push(BalancerAction::StateChanged(self.state()));
        self.notify_version(out);
        self.heartbeat_due = now;
        if std::mem::take(&mut self.lacks_pins) && self.sync.is_done() {
            let loss = SyncLossReason::UnknownService;
            self.sync.restart(now + self.cfg.join_timeout, loss);
            self.sync_changed(now, Change::Lost(loss), out);
        }
    }

    fn new_service(
        &mut self,
        now: MonoTime,
        service: &crate::settings::Service,
        version: Version,
    ) -> ServiceState {
        let mut state = ServiceState::new(now, service, version);
        let known = self.known_bases.iter().position(|b| b.service == state.id);
        if let Some(i) = known {
            state.adopt(self.known_bases.swap_remove(i));
        } else {
            state.provisional = !self.sync.is_done();
        }
        state
    }

    fn notify_version(&mut self, out: &mut Vec<BalancerAction>) {
        let version = self.version();
        let behind = self.peers.live().filter(|p| p.settings_version < version);
        let behind: Vec<MemberId> = behind.map(|p| p.id).collect();
        let mut outbox = Self::outbox(&mut self.counters, out);
        for to in behind {
            outbox.send(to, PeerMessage::SettingsNotice { version });
        }
    }

    fn on_report(&mut self, now: MonoTime, report: &TargetReport, out: &mut Vec<BalancerAction>) {
        let Some(s) = self.services.iter_mut().find(|s| s.id == report.service) else {
            return;
        };
        if !s.targets.report(now, report) {
            return;
        }
        let service = s.id;
        for (target, ejected) in s.targets.eject(s.policies.ejection_limit) {
            let event = if ejected {
                TimelineEvent::Ejected { service, target }
            } else {
                TimelineEvent::Restored { service, target }
            };
            out.push(BalancerAction::Timeline(event));
        }
    }
}

/// Returns the bucket for optional exceptions at a rate per second.
fn bucket_of(rate: f64) -> TokenBucket {
    TokenBucket::new(rate, (rate * OPTIONAL_BURST_S).ceil())
}
