use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use hashbrown::HashMap;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::sync_state::SyncChange;
use super::{
    BalancerAction, BalancerEvent, BalancerSettings, BaseSet, Counters, Handover, HeldPackets,
    Outbox, PeerMessage, Publisher, RebasePhase, ServiceState, SnapshotSource, SyncLossReason,
    SyncState, TargetReport, TimelineEvent,
};
use crate::ids::{MemberId, ServiceId};
use crate::membership::{LifeCycle, LifeCycleState, MemberState, Peers};
use crate::placement::TokenBucket;
use crate::settings::ServiceCatalog;
use crate::units::{HybridClock, MonoTime, Version};

/// The time for which unused capacity for optional exceptions accumulates, in seconds.
const OPTIONAL_BURST_S: f64 = 10.0;

/// The state machine that chooses the target of each packet that one balancer receives.
#[derive(Debug)]
pub struct Balancer {
    pub(super) cfg: BalancerSettings,
    pub(super) catalog: Arc<ServiceCatalog>,
    pub(super) counters: Counters,
    pub(super) service_by_address: HashMap<SocketAddrV4, usize>,
    /// The services, sorted by id.
    pub(super) services: Vec<ServiceState>,
    /// The rate limits of optional exceptions, one per service in the order of `services`.
    pub(super) optional_buckets: Vec<TokenBucket>,
    /// The rate limit of optional exceptions of all services together.
    pub(super) optional_total: TokenBucket,
    pub(super) peers: Peers,
    pub(super) publisher: Publisher,
    pub(super) held: HeldPackets,
    pub(super) handover: Handover,
    pub(super) sync: SyncState,
    pub(super) life_cycle: LifeCycleState,
    pub(super) clock: HybridClock,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) snapshot_sources: Vec<SnapshotSource>,
    /// Base sets from snapshots for services that the settings do not contain yet.
    pub(super) pending_bases: Vec<BaseSet>,
    /// Whether pins were discarded because the settings in force do not contain their service.
    pub(super) pins_discarded: bool,
    pub(super) rebase_bytes: TokenBucket,
    pub(super) rebase_due: MonoTime,
    pub(super) started: bool,
    /// The last time at which the driver called this state machine.
    pub(super) last_run: MonoTime,
    pub(super) heartbeat_due: MonoTime,
    pub(super) heartbeats: u64,
    pub(super) last_heartbeat: MonoTime,
    pub(super) sweep_cursor: usize,
    pub(super) bases_differ_since: Option<MonoTime>,
}

impl Balancer {
    /// Returns a balancer without settings.
    pub fn new(cfg: BalancerSettings) -> Self {
        let handover = Handover::new(cfg.handover_bytes_per_s);
        let optional_total = optional_bucket(cfg.optional_publish_rate);
        let rebase_bytes = TokenBucket::new(cfg.rebase_bytes_per_s, 1.0);
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(cfg.seed),
            cfg,
            catalog: Arc::default(),
            counters: Counters::default(),
            service_by_address: HashMap::new(),
            services: Vec::new(),
            optional_buckets: Vec::new(),
            optional_total,
            peers: Peers::default(),
            publisher: Publisher::default(),
            held: HeldPackets::default(),
            handover,
            sync: SyncState::new(MonoTime::default()),
            life_cycle: LifeCycleState::Starting(LifeCycle::new()),
            clock: HybridClock::default(),
            snapshot_sources: Vec::new(),
            pending_bases: Vec::new(),
            pins_discarded: false,
            rebase_bytes,
            rebase_due: MonoTime::default(),
            started: false,
            last_run: MonoTime::default(),
            heartbeat_due: MonoTime::default(),
            heartbeats: 0,
            last_heartbeat: MonoTime::default(),
            sweep_cursor: 0,
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

    /// Returns the configuration of this member.
    pub fn settings(&self) -> &BalancerSettings {
        &self.cfg
    }

    /// Returns the life-cycle state of this member.
    pub fn state(&self) -> MemberState {
        self.life_cycle.state()
    }

    /// Returns whether this member holds every publication that it knows of.
    pub fn is_synchronised(&self) -> bool {
        self.sync.is_done()
    }

    /// Returns the counters since the start.
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

    /// Returns the number of entries in the flow tables of all services.
    pub fn flow_count(&self) -> usize {
        self.services.iter().map(|s| s.flows.len()).sum()
    }

    /// Returns the number of known flows that the base table does not reproduce.
    ///
    /// The call examines every flow.
    pub fn exception_count(&self) -> usize {
        let exceptions = self.services.iter().map(|s| s.exceptions().count());
        exceptions.sum()
    }

    /// Returns the phase of a service's rebase.
    pub fn rebase_phase(&self, service: ServiceId) -> RebasePhase {
        let found = self.services.iter().find(|s| s.id == service);
        found.map_or(RebasePhase::Settled, ServiceState::phase)
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, event: BalancerEvent, out: &mut Vec<BalancerAction>) {
        self.detect_pause(now, out);
        match event {
            BalancerEvent::Peer {
                from,
                incarnation,
                msg,
            } => self.on_message(now, from, incarnation, msg, out),
            BalancerEvent::Settings(catalog) => self.install_catalog(now, catalog, out),
            BalancerEvent::Hosts(hosts) => {
                self.peers.add_hosts(self.cfg.member, &hosts);
                self.heartbeat_due = now;
            }
            BalancerEvent::Report(report) => self.on_report(now, &report, out),
            BalancerEvent::Tick => {}
            BalancerEvent::Leave => {
                self.life_cycle = self.life_cycle.leave(now, self.cfg.drain_deadline);
                self.report_state(now, out);
            }
        }
        self.poll(now, out);
    }

    /// Returns the next time at which the driver must send a [`BalancerEvent::Tick`].
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

    /// Records that the process runs, and detects a pause of the dead timeout or longer.
    pub(super) fn detect_pause(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
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
    pub(super) fn report_state(&mut self, now: MonoTime, out: &mut Vec<BalancerAction>) {
        let state = self.state();
        out.push(BalancerAction::Timeline(TimelineEvent::State(state)));
        out.push(BalancerAction::StateChanged(state));
        self.heartbeat_due = now;
    }

    fn install_catalog(
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
        self.service_by_address = addresses.map(|(i, s)| (s.address, i)).collect();
        let rates = self.services.iter().map(|s| s.policies.publish_rate);
        self.optional_buckets = rates.map(optional_bucket).collect();
        self.catalog = catalog;
        out.push(BalancerAction::Timeline(TimelineEvent::Settings(version)));
        out.push(BalancerAction::StateChanged(self.state()));
        self.notify_settings_version(out);
        self.heartbeat_due = now;
        if std::mem::take(&mut self.pins_discarded) && self.sync.is_done() {
            let loss = SyncLossReason::UnknownService;
            self.sync.restart(now + self.cfg.join_timeout, loss);
            self.report_sync_change(now, SyncChange::Lost(loss), out);
        }
    }

    fn new_service(
        &mut self,
        now: MonoTime,
        service: &crate::settings::Service,
        version: Version,
    ) -> ServiceState {
        let mut state = ServiceState::new(now, service, version);
        let known = self
            .pending_bases
            .iter()
            .position(|b| b.service == state.id);
        if let Some(i) = known {
            state.adopt_base(self.pending_bases.swap_remove(i));
        } else {
            state.provisional = !self.sync.is_done();
        }
        state
    }

    fn notify_settings_version(&mut self, out: &mut Vec<BalancerAction>) {
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

/// Returns the token bucket for optional exceptions at a rate per second.
fn optional_bucket(rate: f64) -> TokenBucket {
    TokenBucket::new(rate, (rate * OPTIONAL_BURST_S).ceil())
}
