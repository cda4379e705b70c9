//! A fleet of balancers that share observations, with callers and targets, under a virtual clock and
//! without a network.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::{
    Cookie, DirectoryListing, ObservationMark, ObservationReport, ObservationSettings, PeerUpdate,
    ProbeResult, ReporterId, Segment, SegmentKind, Steering, SteeringSettings, TargetInstance,
    Verdict, packed,
};
use zinniadrift_core::units::MonoTime;

use super::world::{CERTIFICATE, address, standard_routes, table, target};

const ZONES: [&str; 3] = ["lowell", "nashua", "concord"];
const RELAYS: usize = 3;
/// The number of balancers that each peer serves.
const FAN_OUT: usize = 16;
/// The time of a message between hosts.
const LATENCY_MS: u64 = 3;
/// The time of a request at a target of speed 1.
const SERVICE_MS: f64 = 100.0;
const POLL_MS: u64 = 1_000;
/// The times after its first opening packet at which a caller sends it again.
const RETRANSMISSIONS_MS: [u64; 2] = [200, 600];
/// The time after which a connection attempt of a probe fails.
const PROBE_TIMEOUT_MS: u64 = 700;

/// The bytes of the fields of a request that name the known part of the peer's table.
const KNOWN_BYTES: u64 = 80;

/// The size and load of a fleet.
#[derive(Clone)]
pub(super) struct FleetSettings {
    pub(super) balancers: usize,
    pub(super) speeds: Vec<f64>,
    /// New flows a second over all balancers, each with one request.
    pub(super) flows_per_s: f64,
    pub(super) enabled: bool,
}

/// A target with its two slots.
pub(super) struct FleetTarget {
    pub(super) instance: TargetInstance,
    pub(super) speed: f64,
    pub(super) is_dead: bool,
    free_at_ms: [f64; 2],
    /// The requests that it got.
    pub(super) requests: u64,
}

struct Balancer {
    core: Steering,
    is_lost: bool,
    parent: usize,
    /// When the request that is held open at the parent was sent, and what it named.
    held: Option<(u64, ObservationMark)>,
    urgent_reports: u64,
    bytes: u64,
}

enum Event {
    Arrival,
    Open {
        flow: FlowKey,
        at: usize,
        copies: u32,
    },
    Packet {
        flow: FlowKey,
        at: usize,
        ack: u32,
        len: u16,
        target: usize,
    },
    Close {
        flow: FlowKey,
        at: usize,
        cookie: Cookie,
    },
    Probed {
        at: usize,
        name: Box<str>,
        result: ProbeResult,
    },
    Poll {
        at: usize,
    },
    RelayReport {
        at: usize,
    },
    Report {
        to: usize,
        report: ObservationReport,
    },
    Update {
        to: usize,
        update: Box<PeerUpdate>,
    },
}

pub(super) struct Fleet {
    cfg: FleetSettings,
    balancers: Vec<Balancer>,
    pub(super) targets: Vec<FleetTarget>,
    by_address: HashMap<SocketAddrV4, usize>,
    cookies: HashMap<FlowKey, (Cookie, usize)>,
    events: BTreeMap<u64, Vec<Event>>,
    rng: Xoshiro256PlusPlus,
    now_ms: u64,
    next_port: u32,
    /// The placements by the number of earlier opening packets.
    pub(super) placements: [u64; 3],
    /// The lines of the decision log, if it is wanted.
    pub(super) decisions: Option<Vec<String>>,
    /// Reports are changed before they are sent.
    pub(super) falsify: Option<fn(usize, &mut ObservationReport)>,
}

impl Fleet {
    pub(super) fn new(cfg: FleetSettings, seed: u64) -> Self {
        let targets: Vec<FleetTarget> = (0_u8..)
            .zip(&cfg.speeds)
            .map(|(n, speed)| FleetTarget {
                instance: TargetInstance {
                    zone: ZONES[usize::from(n) % 3].into(),
                    ..target(n)
                },
                speed: *speed,
                is_dead: false,
                free_at_ms: [0.0; 2],
                requests: 0,
            })
            .collect();
        let by_address = targets.iter().enumerate();
        let by_address = by_address.map(|(n, t)| (t.instance.address, n)).collect();
        let mut fleet = Self {
            balancers: (0..cfg.balancers)
                .map(|n| Self::balancer(&cfg, &targets, n))
                .collect(),
            cfg,
            targets,
            by_address,
            cookies: HashMap::new(),
            events: BTreeMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now_ms: 1_000_000,
            next_port: 0,
            placements: [0; 3],
            decisions: None,
            falsify: None,
        };
        for at in 0..fleet.balancers.len() {
            let event = if at < RELAYS {
                Event::RelayReport { at }
            } else {
                Event::Poll { at }
            };
            fleet.schedule(at as u64 * 17 % POLL_MS, event);
        }
        fleet.schedule(0, Event::Arrival);
        fleet
    }

    fn balancer(cfg: &FleetSettings, targets: &[FleetTarget], n: usize) -> Balancer {
        let settings = SteeringSettings {
            zone: ZONES[n % 3].into(),
            observations: ObservationSettings {
                enabled: cfg.enabled,
            },
            ..SteeringSettings::default()
        };
        let mut core = Steering::new(settings, n as u64);
        core.set_reporter(ReporterId::from_bytes(&n.to_be_bytes()));
        let now = MonoTime::from_millis(1_000_000);
        let targets = targets.iter().map(|t| t.instance.clone()).collect();
        let listing = DirectoryListing {
            as_of: 1.into(),
            targets,
        };
        core.on_listing(now, Some(now), listing);
        core.on_routes(now, Some(now), 1.into(), table(1, standard_routes()));
        let direct = RELAYS + RELAYS * FAN_OUT;
        let parent = if n < direct {
            n % RELAYS
        } else {
            RELAYS + (n - direct) / 8
        };
        Balancer {
            core,
            is_lost: false,
            parent,
            held: None,
            urgent_reports: 0,
            bytes: 0,
        }
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.events
            .entry(self.now_ms + after_ms)
            .or_default()
            .push(event);
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_ms)
    }

    /// Stops the calls of callers.
    pub(super) fn stop_callers(&mut self) {
        self.cfg.flows_per_s = 0.0;
    }

    /// Cuts a balancer off from all others; it has no more callers.
    pub(super) fn lose(&mut self, at: usize) {
        self.balancers[at].is_lost = true;
    }

    pub(super) fn core(&self, at: usize) -> (&Steering, MonoTime) {
        (&self.balancers[at].core, self.now())
    }

    /// Returns the bytes of observations that the median balancer sent and received since the last
    /// call.
    pub(super) fn take_median_bytes(&mut self) -> u64 {
        let mut bytes: Vec<u64> = self.balancers.iter().map(|b| b.bytes).collect();
        self.balancers.iter_mut().for_each(|b| b.bytes = 0);
        bytes.sort_unstable();
        bytes[bytes.len() / 2]
    }

    /// Returns the bytes of observations that the busiest balancer sent and received since the last
    /// call.
    pub(super) fn take_max_bytes(&mut self) -> u64 {
        let bytes = self.balancers.iter().map(|b| b.bytes).max();
        self.balancers.iter_mut().for_each(|b| b.bytes = 0);
        bytes.unwrap_or_default()
    }

    /// Starts a balancer that asks `peer`, and returns how many targets the peer knows and how many
    /// the new one then does.
    pub(super) fn join(&mut self, peer: usize) -> (usize, usize) {
        let now = self.now();
        let mut new = Self::balancer(&self.cfg, &self.targets, 1_000).core;
        let peer = &mut self.balancers[peer].core;
        let mut update = peer.update_for(now, new.known_state()).unwrap();
        peer.add_observations(now, ObservationMark::default(), &mut update);
        new.on_peer_update(now, new.pause_count(), update);
        new.tick(now);
        (peer.observations().len(), new.observations().len())
    }

    pub(super) fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            while let Some(events) = self.events.remove(&self.now_ms) {
                for event in events {
                    self.handle(event);
                }
            }
            if self.now_ms.is_multiple_of(10) {
                self.maintain();
            }
            self.now_ms += 1;
        }
    }

    /// Runs the timers of the balancers, and sends what they have to tell each other.
    fn maintain(&mut self) {
        let now = self.now();
        let confirm = self.now_ms.is_multiple_of(1_000);
        for at in 0..self.balancers.len() {
            let b = &mut self.balancers[at];
            if confirm {
                b.core.on_changes(now, Some(now), Vec::new(), 1.into());
            }
            if b.core.next_tick() <= now {
                b.core.tick(now);
            }
            let probes: Vec<_> = b.core.take_probes().collect();
            let urgent = b.core.observations().urgent_reports();
            let is_urgent = std::mem::replace(&mut b.urgent_reports, urgent) != urgent;
            let decisions = b.core.take_decisions();
            if let Some(log) = &mut self.decisions {
                let now_ms = self.now_ms;
                log.extend(decisions.map(|d| format!("{now_ms} {at} {d:?}")));
            } else {
                decisions.for_each(drop);
            }
            b.core.take_response_times().for_each(drop);
            for probe in probes {
                let is_dead = self.targets[self.by_address[&probe.address]].is_dead;
                let (after, result) = if is_dead {
                    (PROBE_TIMEOUT_MS, ProbeResult::TimedOut)
                } else {
                    (LATENCY_MS * 2, ProbeResult::Accepted)
                };
                self.schedule(
                    after,
                    Event::Probed {
                        at,
                        name: probe.name,
                        result,
                    },
                );
            }
            if is_urgent {
                self.send_report(at);
            }
            self.answer_held(at);
        }
    }

    fn send_report(&mut self, at: usize) {
        let is_relay = at < RELAYS;
        let now = self.now();
        let report = self.balancers[at].core.observation_report(now, is_relay);
        let Some(mut report) = report else { return };
        if let Some(falsify) = self.falsify {
            falsify(at, &mut report);
        }
        let receivers: Vec<usize> = if is_relay {
            (0..RELAYS).filter(|r| *r != at).collect()
        } else {
            vec![self.balancers[at].parent]
        };
        let len = serde_json::to_vec(&report).unwrap().len() as u64;
        assert!(len <= 3_000, "a report of {len} bytes");
        self.balancers[at].bytes += len * receivers.len() as u64;
        for to in receivers {
            self.balancers[to].bytes += len;
            if !self.balancers[at].is_lost && !self.balancers[to].is_lost {
                let report = report.clone();
                self.schedule(LATENCY_MS, Event::Report { to, report });
            }
        }
    }

    /// Answers the request that `at` has open at its parent, if there is reason to.
    fn answer_held(&mut self, at: usize) {
        let now = self.now();
        let Some((sent_ms, known)) = self.balancers[at].held else {
            return;
        };
        let parent = self.balancers[at].parent;
        if self.balancers[at].is_lost || self.balancers[parent].is_lost {
            return;
        }
        let peer = &self.balancers[parent].core;
        let alert = peer.observations().alert();
        let is_alert = known.epoch == alert.epoch && alert.seq > known.seq;
        if !is_alert && self.now_ms < sent_ms + POLL_MS {
            return;
        }
        let Some(mut update) = peer.update_for(now, self.balancers[at].core.known_state()) else {
            return;
        };
        self.balancers[parent]
            .core
            .add_observations(now, known, &mut update);
        let mut bytes = packed::to_bytes(&update.observations).len() as u64;
        if !update.observations_epoch.is_none() {
            // The epoch, the sequence number, and the tags of the three fields.
            bytes += 9 + 4 + 3;
        }
        self.balancers[parent].bytes += bytes;
        self.balancers[at].bytes += bytes;
        self.balancers[at].held = None;
        let update = Box::new(update);
        self.schedule(LATENCY_MS, Event::Update { to: at, update });
        self.schedule(LATENCY_MS, Event::Poll { at });
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Open { flow, at, copies } => self.on_open(flow, at, copies),
            Event::Packet {
                flow,
                at,
                ack,
                len,
                target,
            } => {
                self.on_packet(flow, at, ack, len, target);
            }
            Event::Close { flow, at, cookie } => {
                self.send(at, flow, SegmentKind::Close, cookie, 100, 0);
            }
            Event::Probed { at, name, result } => {
                self.balancers[at].core.on_probe(now, &name, result);
            }
            Event::Poll { at } => {
                self.send_report(at);
                let b = &mut self.balancers[at];
                let known = b.core.observations().known_upstream();
                b.held = Some((self.now_ms, known));
                if !known.epoch.is_none() {
                    b.bytes += KNOWN_BYTES;
                }
            }
            Event::RelayReport { at } => {
                self.send_report(at);
                self.schedule(POLL_MS, Event::RelayReport { at });
            }
            Event::Report { to, report } => {
                self.balancers[to].core.on_observation_report(now, &report);
            }
            Event::Update { to, update } => {
                let core = &mut self.balancers[to].core;
                let pauses = core.pause_count();
                core.on_peer_update(now, pauses, *update);
            }
        }
    }

    fn on_arrival(&mut self) {
        if self.cfg.flows_per_s == 0.0 {
            return;
        }
        let gap_ms = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() * 1e3;
        let gap_ms = (gap_ms / self.cfg.flows_per_s).round() as u64;
        self.schedule(gap_ms, Event::Arrival);
        let at = self.rng.random_range(0..self.balancers.len());
        self.next_port += 1;
        let [a, b, c, d] = self.next_port.to_be_bytes();
        let caller = SocketAddrV4::new([100, 64, a, b].into(), u16::from_be_bytes([c, d]));
        let flow = FlowKey {
            caller,
            service: address(CERTIFICATE),
        };
        if !self.balancers[at].is_lost {
            self.on_open(flow, at, 0);
        }
    }

    fn send(
        &mut self,
        at: usize,
        flow: FlowKey,
        kind: SegmentKind,
        cookie: Cookie,
        ack: u32,
        len: u16,
    ) -> Verdict {
        let seg = Segment {
            flow,
            kind,
            cookie,
            seq: 1,
            ack,
            len,
        };
        let now = self.now();
        self.balancers[at].core.on_segment(now, &seg)
    }

    fn on_open(&mut self, flow: FlowKey, at: usize, copies: u32) {
        let kind = SegmentKind::Open {
            retransmissions: copies,
        };
        if self.cookies.contains_key(&flow) {
            return;
        }
        let verdict = self.send(at, flow, kind, Cookie::NONE, 0, 0);
        let Verdict::Forward { to, cookie, .. } = verdict else {
            return;
        };
        self.placements[copies as usize] += 1;
        let target = self.by_address[&to];
        if !self.targets[target].is_dead {
            self.cookies.insert(flow, (cookie, target));
            let packet = Event::Packet {
                flow,
                at,
                ack: 1,
                len: 900,
                target,
            };
            self.schedule(LATENCY_MS * 2, packet);
            return;
        }
        let sent_ms = copies
            .checked_sub(1)
            .map_or(0, |n| RETRANSMISSIONS_MS[n as usize]);
        if let Some(next_ms) = RETRANSMISSIONS_MS.get(copies as usize) {
            let open = Event::Open {
                flow,
                at,
                copies: copies + 1,
            };
            self.schedule(next_ms - sent_ms, open);
        }
    }

    /// Sends the request of an opened flow, or acknowledges its response.
    fn on_packet(&mut self, flow: FlowKey, at: usize, ack: u32, len: u16, n: usize) {
        let Some((cookie, _)) = self.cookies.get(&flow).copied() else {
            return;
        };
        if len > 0 {
            self.send(at, flow, SegmentKind::Established, cookie, ack, 0);
        }
        self.send(at, flow, SegmentKind::Established, cookie, ack, len);
        if len == 0 {
            self.cookies.remove(&flow);
            self.schedule(1, Event::Close { flow, at, cookie });
            return;
        }
        let target = &mut self.targets[n];
        target.requests += 1;
        if target.is_dead {
            self.cookies.remove(&flow);
            return;
        }
        let spread = self.rng.random_range(0.7..1.3);
        let is_long = self.rng.random_range(0.0..1.0) < 0.03;
        let took_ms = SERVICE_MS * spread * if is_long { 7.0 } else { 1.0 } / target.speed;
        let slot = usize::from(target.free_at_ms[1] < target.free_at_ms[0]);
        let start_ms = target.free_at_ms[slot].max(self.now_ms as f64);
        target.free_at_ms[slot] = start_ms + took_ms;
        let done_ms = (start_ms + took_ms) as u64 - self.now_ms + LATENCY_MS * 2;
        let response = Event::Packet {
            flow,
            at,
            ack: 101,
            len: 0,
            target: n,
        };
        self.schedule(done_ms, response);
    }
}

/// Returns the busiest target's requests in proportion to its speed, divided by the mean.
pub(super) fn imbalance(targets: &[FleetTarget]) -> f64 {
    let loads: Vec<f64> = targets
        .iter()
        .map(|t| t.requests as f64 / t.speed)
        .collect();
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean
}
