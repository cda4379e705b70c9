use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::balancer::{BalancerEvent, BalancerSettings};
use zinniadrift_core::flow::{FlowKey, FlowPacket, PacketKind};
use zinniadrift_core::ids::PacketToken;

use super::{REPETITIONS, SyntheticCatalog, median_ns};
use crate::harness::Group;

const FIRST_CALLER: u32 = u32::from_be_bytes([10, 0, 0, 0]);
const CALLER_PORT: u16 = 40_000;
/// The member takes itself for the first one after this time without peers.
const START: Duration = Duration::from_secs(10);
/// Packets in one timing.
const BATCH: usize = 50_000;

/// Drives a single balancer that holds many flows.
#[derive(Debug)]
pub(crate) struct LoadedBalancer {
    group: Group,
    catalog: SyntheticCatalog,
    version: u64,
    flows: usize,
    rng: Xoshiro256PlusPlus,
}

impl LoadedBalancer {
    /// Starts a balancer with the given settings.
    pub(crate) fn start(catalog: SyntheticCatalog, seed: u64) -> Self {
        let template = BalancerSettings {
            seed,
            ..BalancerSettings::default()
        };
        let mut group = Group::new(seed, template);
        let member = group.join("balancer-0", "lowell");
        group.deliver_settings(member, &catalog.catalog(1), Duration::ZERO);
        group.advance(START);
        Self {
            group,
            catalog,
            version: 1,
            flows: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Opens flows, spread over all services.
    pub(crate) fn open(&mut self, flows: usize) {
        for _ in 0..flows {
            let key = self.key(self.flows);
            self.flows += 1;
            self.packet(key, PacketKind::Open);
        }
    }

    /// Returns the time of a packet of a random open flow.
    pub(crate) fn ns_per_known_packet(&mut self) -> f64 {
        let flows = self.flows;
        let picks = (0..BATCH).map(|_| self.rng.random_range(0..flows));
        let picks: Vec<usize> = picks.collect();
        let keys: Vec<FlowKey> = picks.into_iter().map(|i| self.key(i)).collect();
        let time = median_ns(|| {
            for key in &keys {
                self.packet(*key, PacketKind::Established);
            }
        });
        time / BATCH as f64
    }

    /// Returns the time of the opening packet of a new flow.
    pub(crate) fn ns_per_new_packet(&mut self) -> f64 {
        let time = median_ns(|| self.open(BATCH));
        time / BATCH as f64
    }

    /// Returns the time in nanoseconds in which new settings come into force.
    pub(crate) fn settings_ns(&mut self) -> f64 {
        // Checking the settings is not part of the time, since the runtime does it once per version.
        let versions = self.version + 1..=self.version + REPETITIONS as u64;
        let mut catalogs: Vec<_> = versions.rev().map(|v| self.catalog.catalog(v)).collect();
        self.version += REPETITIONS as u64;
        median_ns(|| {
            if let Some(catalog) = catalogs.pop() {
                self.group.handle_event(0, BalancerEvent::Settings(catalog));
            }
        })
    }

    fn packet(&mut self, flow: FlowKey, kind: PacketKind) {
        let packet = FlowPacket {
            flow,
            kind,
            relayed: false,
            token: PacketToken::default(),
        };
        let now = self.group.now();
        let mut out = Vec::new();
        black_box(self.group.members[0].core.on_packet(now, &packet, &mut out));
    }

    fn key(&self, index: usize) -> FlowKey {
        let address = Ipv4Addr::from_bits(FIRST_CALLER + index as u32);
        let services = &self.catalog.addresses;
        FlowKey {
            caller: SocketAddrV4::new(address, CALLER_PORT),
            service: services[index % services.len()],
        }
    }
}
