mod traffic;

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::distribution::{
    Distribution, DistributionAction, DistributionEvent, DistributionSettings,
};
use zinniadrift_core::ids::{MemberId, ZoneName};
use zinniadrift_core::units::{MonoTime, Version};
use zinniadrift_proto::v1;

use super::event_queue::{Event, EventQueue};
use super::in_force_tracker::InForceTracker;
use super::platform_model::PlatformModel;
use super::poll_daemon::PollDaemon;
use super::tree::build_tree;
use super::{ConfigPolicy, ConfigReport, ConfigScenario, Daemon};

/// The shortest and the longest one-way latency between two daemons.
const PEER_LATENCY: [Duration; 2] = [Duration::from_micros(500), Duration::from_millis(5)];
const CALL_LATENCY: Duration = Duration::from_millis(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const DEAD_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const FIRST_EDIT: MonoTime = MonoTime::from_millis(1);
/// The time at the end of a run without further edits, so that the daemons can converge. Faults
/// stop twice this time before the end.
const SETTLE_TIME: Duration = Duration::from_secs(90);
/// The time until an operator notices that the store was reset to an older state.
const RECOVERY_TIME: Duration = Duration::from_secs(20);
/// The size of the IPv4 and UDP headers of a datagram.
const IP_UDP_HEADER_BYTES: usize = 28;

/// A simulation of daemons and the platform under a virtual clock.
pub(super) struct Simulation {
    policy: ConfigPolicy,
    scenario: ConfigScenario,
    rng: Xoshiro256PlusPlus,
    /// The generator for edits and faults. It is separate from `rng`, so that all policies meet the
    /// same edits and faults on the same seed.
    scenario_rng: Xoshiro256PlusPlus,
    now: MonoTime,
    end: MonoTime,
    queue: EventQueue,
    platform: PlatformModel,
    hosts: Vec<Host>,
    in_force: InForceTracker,
    report: ConfigReport,
    notice_bytes: usize,
}

struct Host {
    zone: usize,
    /// The number of restarts of the daemon; events for an earlier incarnation are dropped.
    incarnation: u32,
    daemon: Option<Box<dyn Daemon>>,
    /// The number of the last call; answers to earlier calls are dropped.
    last_call: u64,
    /// The number of the pending watch call and the revision above which it waits for an update.
    pending_watch: Option<(u64, u64)>,
    /// The time of the last notice or heartbeat of each other daemon.
    last_heard: Vec<MonoTime>,
    peers: Vec<usize>,
    tick_at: Option<MonoTime>,
}

impl Simulation {
    pub(super) fn new(policy: ConfigPolicy, seed: u64, scenario: ConfigScenario) -> Self {
        let end = FIRST_EDIT + scenario.edit_interval * scenario.edits + SETTLE_TIME;
        let hosts = (0..scenario.members).map(|i| Host {
            zone: i % scenario.zones,
            incarnation: 0,
            daemon: None,
            last_call: 0,
            pending_watch: None,
            last_heard: vec![MonoTime::default(); scenario.members],
            peers: Vec::new(),
            tick_at: None,
        });
        Self {
            policy,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            scenario_rng: Xoshiro256PlusPlus::seed_from_u64(!seed),
            now: MonoTime::default(),
            end,
            queue: EventQueue::default(),
            platform: PlatformModel::new(build_tree(scenario.services), seed, &scenario),
            hosts: hosts.collect(),
            in_force: InForceTracker::new(scenario.members),
            report: ConfigReport {
                members: scenario.members,
                duration: end.since(MonoTime::default()),
                ..ConfigReport::default()
            },
            notice_bytes: notice_bytes(),
            scenario,
        }
    }

    pub(super) fn run(mut self) -> ConfigReport {
        self.platform.edit(MonoTime::default(), Version::default());
        for daemon in 0..self.hosts.len() {
            let at = MonoTime::default() + HEARTBEAT_INTERVAL.mul_f64(self.rng.random());
            self.queue.push(at, Event::Start { daemon });
        }
        let settled = FIRST_EDIT + Duration::from_secs(10);
        self.queue.push(settled, Event::SubmitEdit);
        if let Some(interval) = self.scenario.fault_interval {
            self.queue.push(settled + interval, Event::InjectFault);
        }
        while let Some((at, event)) = self.queue.pop() {
            if at >= self.end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.in_force.add_to(&mut self.report);
        let highest = self.platform.version();
        let behind = self.hosts.iter().filter(|h| h.version() != highest);
        self.report.not_converged = behind.count() as u32;
        self.report.document_bytes = self.platform.document_bytes();
        self.report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SubmitEdit => self.submit_edit(),
            Event::InjectFault => self.inject_fault(),
            Event::Recover => self.recover(),
            Event::UpdateVisible { daemon } => self.answer_watch(daemon),
            Event::WaitEnds { daemon, call } => self.on_wait_end(daemon, call),
            Event::CallAnswered {
                daemon,
                call,
                answer,
            } => self.on_call_answered(daemon, call, answer),
            Event::StatusWritten {
                daemon,
                incarnation,
                ok,
            } => {
                if self.hosts[daemon].incarnation == incarnation {
                    self.deliver(daemon, DistributionEvent::StatusWritten { ok });
                }
            }
            Event::PeerVersion {
                daemon,
                from,
                version,
            } => self.on_peer_version(daemon, from, version),
            Event::PullArrives {
                daemon,
                incarnation,
                from,
            } => {
                let document = self.hosts[from].daemon.as_ref().and_then(|d| d.document());
                self.report.pull_bytes += document.as_ref().map_or(0, Bytes::len) as u64;
                let pulled = Event::PullAnswered {
                    daemon,
                    incarnation,
                    from,
                    document,
                };
                let at = self.now + self.draw_peer_latency();
                self.queue.push(at, pulled);
            }
            Event::PullAnswered {
                daemon,
                incarnation,
                from,
                document,
            } => {
                if self.hosts[daemon].incarnation == incarnation {
                    let from = member_id(from);
                    self.deliver(daemon, DistributionEvent::PeerDocument { from, document });
                }
            }
            Event::Heartbeat {
                daemon,
                incarnation,
            } => {
                if self.hosts[daemon].incarnation == incarnation {
                    self.send_heartbeats(daemon);
                }
            }
            Event::Tick {
                daemon,
                incarnation,
            } => {
                if self.hosts[daemon].incarnation == incarnation {
                    self.hosts[daemon].tick_at = None;
                    self.deliver(daemon, DistributionEvent::Tick);
                }
            }
            Event::Start { daemon } => self.start_daemon(daemon),
        }
    }

    fn submit_edit(&mut self) {
        if self.now + SETTLE_TIME >= self.end {
            return;
        }
        // Edits are refused while the platform is down or has a lower version than some daemon.
        let is_behind = self.platform.version() < self.in_force.highest();
        if self.now >= self.platform.down_until && !is_behind {
            self.apply_edit(Version::default());
        }
        let gap = self
            .scenario
            .edit_interval
            .mul_f64(self.scenario_rng.random_range(0.5..1.5));
        self.queue.push(self.now + gap, Event::SubmitEdit);
    }

    fn recover(&mut self) {
        let highest = self.in_force.highest();
        if self.platform.version() < highest {
            self.apply_edit(highest);
        }
    }

    fn apply_edit(&mut self, floor: Version) {
        let version = self.platform.edit(self.now, floor);
        self.in_force.record_edit(self.now, version);
        for daemon in 0..self.hosts.len() {
            let at = self.now + self.platform.lag_of(daemon);
            self.queue.push(at, Event::UpdateVisible { daemon });
        }
    }

    /// Injects a fault of a random kind and schedules the next one.
    fn inject_fault(&mut self) {
        let Some(interval) = self.scenario.fault_interval else {
            return;
        };
        if self.now + SETTLE_TIME * 2 >= self.end {
            return;
        }
        self.report.faults += 1;
        let until = self.now + interval.mul_f64(self.scenario_rng.random_range(0.2..0.8));
        match self.scenario_rng.random_range(0..6) {
            0 => {
                self.platform.down_until = until;
                self.fail_watches();
            }
            1 => {
                let zone = self.scenario_rng.random_range(0..self.scenario.zones);
                self.platform.partition = (zone, until);
            }
            2 => self.platform.stale_until = until,
            3 => self.platform.lossy_until = until,
            4 => self.restart_daemon(until),
            _ => {
                self.platform
                    .restore(self.now, self.scenario_rng.random_range(1..=3));
                let at = self.now + RECOVERY_TIME;
                self.queue.push(at, Event::Recover);
            }
        }
        let gap = interval.mul_f64(self.scenario_rng.random_range(0.5..1.5));
        self.queue.push(self.now + gap, Event::InjectFault);
    }

    fn restart_daemon(&mut self, until: MonoTime) {
        let daemon = self.scenario_rng.random_range(0..self.hosts.len());
        let host = &mut self.hosts[daemon];
        host.daemon = None;
        host.incarnation += 1;
        host.pending_watch = None;
        host.last_call += 1;
        host.tick_at = None;
        self.queue.push(until, Event::Start { daemon });
    }

    fn start_daemon(&mut self, daemon: usize) {
        if self.hosts[daemon].daemon.is_some() {
            return;
        }
        let seed = self.rng.random();
        let new: Box<dyn Daemon> = match self.policy {
            ConfigPolicy::Poll => {
                let first = self.now + POLL_INTERVAL.mul_f64(self.rng.random());
                Box::new(PollDaemon::new(first))
            }
            ConfigPolicy::Default | ConfigPolicy::Unchecked => {
                Box::new(Distribution::new(DistributionSettings {
                    member: member_id(daemon),
                    zone: zone_name(self.hosts[daemon].zone),
                    seed,
                    expects_peers: true,
                    refuse_lower_versions: self.policy == ConfigPolicy::Default,
                    ..DistributionSettings::default()
                }))
            }
        };
        let host = &mut self.hosts[daemon];
        host.daemon = Some(new);
        host.peers.clear();
        host.last_heard.fill(MonoTime::default());
        let incarnation = host.incarnation;
        self.queue.push(
            self.now,
            Event::Heartbeat {
                daemon,
                incarnation,
            },
        );
        self.deliver(daemon, DistributionEvent::Tick);
    }

    /// Passes an event to a daemon and performs the resulting actions.
    fn deliver(&mut self, daemon: usize, event: DistributionEvent) {
        let mut out = Vec::new();
        let Some(core) = self.hosts[daemon].daemon.as_mut() else {
            return;
        };
        core.handle(self.now, event, &mut out);
        for action in out {
            self.perform(daemon, action);
        }
        let host = &mut self.hosts[daemon];
        let deadline = host.daemon.as_ref().and_then(|d| d.next_deadline());
        if let Some(at) = deadline.filter(|at| host.tick_at.is_none_or(|tick_at| *at < tick_at)) {
            host.tick_at = Some(at);
            let incarnation = host.incarnation;
            self.queue.push(
                at,
                Event::Tick {
                    daemon,
                    incarnation,
                },
            );
        }
    }

    fn perform(&mut self, daemon: usize, action: DistributionAction) {
        let incarnation = self.hosts[daemon].incarnation;
        match action {
            DistributionAction::WatchPlatform { after, wait } => {
                self.call_platform(daemon, after, wait);
            }
            DistributionAction::StopWatch => {
                self.hosts[daemon].pending_watch = None;
                self.hosts[daemon].last_call += 1;
            }
            DistributionAction::PullFrom { peer } => {
                let from = (0..self.hosts.len()).find(|i| member_id(*i) == peer);
                if let Some(from) = from {
                    let at = self.now + self.draw_peer_latency();
                    let pull = Event::PullArrives {
                        daemon,
                        incarnation,
                        from,
                    };
                    self.queue.push(at, pull);
                }
            }
            DistributionAction::Install(catalog) => {
                self.in_force
                    .record_install(self.now, daemon, catalog.version);
            }
            DistributionAction::Notify { version } => {
                let peers = self.hosts[daemon].peers.clone();
                self.report.notice_bytes += (peers.len() * self.notice_bytes) as u64;
                for peer in peers {
                    self.send_version(daemon, peer, version);
                }
            }
            DistributionAction::WriteStatus => {
                self.report.store_calls += 1;
                let ok = self
                    .platform
                    .is_reachable(self.now, self.hosts[daemon].zone)
                    && !self.loses_answer();
                let delay = if ok { CALL_LATENCY } else { CALL_TIMEOUT };
                let written = Event::StatusWritten {
                    daemon,
                    incarnation,
                    ok,
                };
                self.queue.push(self.now + delay, written);
            }
        }
    }
}

impl Host {
    fn version(&self) -> Version {
        self.daemon
            .as_ref()
            .map_or_else(Version::default, |d| d.version())
    }
}

fn member_id(daemon: usize) -> MemberId {
    MemberId::from_name(&format!("balancer-{daemon}"))
}

fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone}").into_boxed_str().into()
}

/// Returns the size in bytes of a settings notice on the wire.
fn notice_bytes() -> usize {
    let datagram = v1::Datagram {
        group: "granite".into(),
        sender: u32::MAX,
        incarnation: u64::MAX,
        time: u64::MAX,
        body: Some(v1::datagram::Body::SettingsNotice(v1::SettingsNotice {
            version: 1_000_000,
        })),
        ..v1::Datagram::default()
    };
    IP_UDP_HEADER_BYTES + datagram.encoded_len()
}
