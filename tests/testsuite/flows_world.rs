//! A test harness that drives a group of balancers and records the target of every flow.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::balancer::{BalancerSettings, Mechanisms, TargetReport};
use zinniadrift_core::flow::{FlowKey, PacketKind};
use zinniadrift_core::ids::{PacketToken, ServiceId, TargetId};
use zinniadrift_core::settings::{Policies, Service, ServiceCatalog, Target, TargetState};
use zinniadrift_core::units::{Version, Weight};
use zinniadrift_lab::harness::{Group, Outcome};

/// The weight and state of a target in the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TargetSpec {
    pub(crate) weight: u16,
    pub(crate) state: TargetState,
}

impl TargetSpec {
    pub(crate) const ACTIVE: Self = Self {
        weight: 100,
        state: TargetState::Active,
    };
    pub(crate) const DRAINING: Self = Self {
        weight: 100,
        state: TargetState::Draining,
    };
}

/// The outcomes of packets of established flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Tally {
    pub(crate) kept: usize,
    /// Packets that reached a target other than the flow's.
    pub(crate) broken: usize,
    /// Packets that reached a target of another service.
    pub(crate) wrong_service: usize,
    /// Packets that were dropped or lost; the caller's TCP retransmits them.
    pub(crate) lost: usize,
}

/// A group of balancers, their settings and the established flows.
pub(crate) struct World {
    pub(crate) group: Group,
    pub(crate) names: Vec<String>,
    pub(crate) policies: Policies,
    pub(crate) services: BTreeMap<String, BTreeMap<String, TargetSpec>>,
    pub(crate) flows: BTreeMap<FlowKey, TargetId>,
    version: u64,
    callers: u32,
    opening: HashMap<PacketToken, FlowKey>,
    probes: BTreeSet<PacketToken>,
}

impl World {
    pub(crate) fn new(seed: u64, mechanisms: Mechanisms) -> Self {
        let template = BalancerSettings {
            seed,
            mechanisms,
            drain_quiet: Duration::from_secs(2),
            drain_deadline: Duration::from_secs(20),
            optional_publish_rate: 20.0,
            ..BalancerSettings::default()
        };
        let mut policies = Policies::default();
        policies.flows.ramp_s = 0;
        // The scenario files expect these values, whatever the defaults are.
        policies.flows.imbalance_tolerance = 0.02;
        policies.flows.publish_rate = 20.0;
        Self {
            group: Group::new(seed, template),
            names: Vec::new(),
            policies,
            services: BTreeMap::new(),
            flows: BTreeMap::new(),
            version: 0,
            callers: 0,
            opening: HashMap::new(),
            probes: BTreeSet::new(),
        }
    }

    /// Returns a settled group of members with two services.
    pub(crate) fn settled(seed: u64, mechanisms: Mechanisms, members: usize) -> Self {
        let mut w = Self::new(seed, mechanisms);
        for i in 0..members {
            w.join(&format!("m{i}"), ["bern", "olten", "aarau"][i % 3]);
        }
        for (service, n) in [("gradebook", 6), ("corevault", 3)] {
            for t in 0..n {
                w.set_target(service, &format!("t{t}"), Some(TargetSpec::ACTIVE));
            }
        }
        w.edit_all(Duration::ZERO);
        w.advance(5_000);
        w
    }

    pub(crate) fn join(&mut self, name: &str, zone: &str) -> usize {
        self.names.push(name.into());
        self.group.join(name, zone)
    }

    pub(crate) fn member(&self, name: &str) -> usize {
        self.names
            .iter()
            .position(|n| n == name)
            .expect("a known name")
    }

    /// Sets a target's entry in the next edit; `None` removes the target.
    pub(crate) fn set_target(&mut self, service: &str, target: &str, spec: Option<TargetSpec>) {
        let targets = self.services.entry(service.into()).or_default();
        match spec {
            Some(w) => targets.insert(target.into(), w),
            None => targets.remove(target),
        };
    }

    /// Creates a new version of the settings from the present entries.
    pub(crate) fn edit(&mut self) -> Arc<ServiceCatalog> {
        self.version += 1;
        self.catalog(self.version)
    }

    pub(crate) fn catalog(&self, version: u64) -> Arc<ServiceCatalog> {
        let services = self.services.iter().enumerate();
        let services = services.map(|(i, (path, targets))| Service {
            id: ServiceId::from_name(path),
            path: path.as_str().into(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1 + i as u8), 443),
            targets: targets.iter().map(|(n, w)| target(path, n, w)).collect(),
            policies: self.policies.clone(),
        });
        Arc::new(ServiceCatalog {
            version: Version::from(version),
            services: services.collect(),
        })
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Sends a new version of the settings to all members, each one `spread` after the previous.
    pub(crate) fn edit_all(&mut self, spread: Duration) {
        let catalog = self.edit();
        for member in 0..self.names.len() {
            let delay = spread * member as u32;
            self.group.deliver_settings(member, &catalog, delay);
        }
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.group.advance(Duration::from_millis(millis));
        self.collect();
    }

    /// Sends opening packets of new flows.
    pub(crate) fn open(&mut self, service: &str, n: usize, via: usize) -> Vec<FlowKey> {
        let at = self
            .services
            .keys()
            .position(|s| s == service)
            .expect("a known name");
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1 + at as u8), 443);
        let mut opened = Vec::new();
        for _ in 0..n {
            self.callers += 1;
            let flow = FlowKey {
                caller: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a01_0000 + self.callers), 40_000),
                service: address,
            };
            self.send_open(flow, via);
            opened.push(flow);
        }
        opened
    }

    /// Sends an opening packet; the flow is established on the target that receives it.
    pub(crate) fn send_open(&mut self, flow: FlowKey, via: usize) {
        let token = self.group.send_packet(via, flow, PacketKind::Open);
        self.opening.insert(token, flow);
        self.collect();
    }

    /// Sends a packet of every established flow through a member and waits for the outcome.
    pub(crate) fn probe(&mut self, via: usize) -> Tally {
        let flows: Vec<FlowKey> = self.flows.keys().copied().collect();
        self.probe_flows(&flows, via)
    }

    /// Half-closes every established flow through a member; the flows stay established.
    pub(crate) fn half_close(&mut self, via: usize) -> Tally {
        let flows: Vec<FlowKey> = self.flows.keys().copied().collect();
        self.send_to_flows(&flows, via, PacketKind::Close)
    }

    pub(crate) fn probe_flows(&mut self, flows: &[FlowKey], via: usize) -> Tally {
        self.send_to_flows(flows, via, PacketKind::Established)
    }

    fn send_to_flows(&mut self, flows: &[FlowKey], via: usize, kind: PacketKind) -> Tally {
        self.collect();
        for flow in flows {
            let token = self.group.send_packet(via, *flow, kind);
            self.probes.insert(token);
        }
        self.advance_for_probes()
    }

    /// Returns the members that are neither stopped nor paused.
    pub(crate) fn running(&self) -> Vec<usize> {
        let members = self.group.members.iter().enumerate();
        let running = members.filter(|(_, m)| m.alive && !m.paused);
        running.map(|(i, _)| i).collect()
    }

    pub(crate) fn report(&mut self, service: &str, target: &str, open_flows: u32, healthy: bool) {
        self.group.broadcast_report(TargetReport {
            service: ServiceId::from_name(service),
            target: TargetId::from_name(service, target),
            open_flows,
            busy: 0,
            healthy,
        });
    }

    /// Returns the flows established on a target.
    pub(crate) fn flows_of(&self, service: &str, target: &str) -> Vec<FlowKey> {
        let id = TargetId::from_name(service, target);
        let flows = self.flows.iter().filter(|(_, t)| **t == id);
        flows.map(|(f, _)| *f).collect()
    }

    fn advance_for_probes(&mut self) -> Tally {
        self.group.advance(Duration::from_millis(60));
        self.collect()
    }

    /// Records the flows whose opening packet arrived, and counts the outcomes of other packets.
    fn collect(&mut self) -> Tally {
        let mut tally = Tally::default();
        for d in self.group.take_deliveries() {
            let flow = d.packet.flow;
            if self.opening.remove(&d.packet.token).is_some() {
                if let Outcome::Forwarded(target) = d.outcome {
                    self.flows.insert(flow, target);
                }
                continue;
            }
            self.probes.remove(&d.packet.token);
            let Some(established) = self.flows.get(&flow).copied() else {
                continue;
            };
            match d.outcome {
                Outcome::Forwarded(t) if t == established => tally.kept += 1,
                Outcome::Forwarded(t) if self.is_of_service(flow, t) => tally.broken += 1,
                Outcome::Forwarded(_) => tally.wrong_service += 1,
                Outcome::Dropped(_) | Outcome::Lost => tally.lost += 1,
            }
        }
        tally
    }

    fn is_of_service(&self, flow: FlowKey, target: TargetId) -> bool {
        let at = usize::from(flow.service.ip().octets()[3] - 1);
        let (path, targets) = self.services.iter().nth(at).expect("a known name");
        let ids = targets.keys().map(|n| TargetId::from_name(path, n));
        ids.into_iter().any(|id| id == target)
    }
}

fn target(path: &str, name: &str, spec: &TargetSpec) -> Target {
    Target {
        id: TargetId::from_name(path, name),
        name: name.into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "bern".into(),
        weight: Weight::from(spec.weight),
        state: spec.state,
        slots: 2,
    }
}
