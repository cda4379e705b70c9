use std::net::{Ipv4Addr, SocketAddrV4};

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::flow::FlowKey;

use super::flow_record::{FlowRecord, FlowState};
use super::{SECOND, Scale, UserGroup};

const FIRST_CALLER_ADDRESS: u32 = u32::from_be_bytes([10, 0, 0, 0]);
const FIRST_PORT: u16 = 1_024;

/// A generator of flows and packet times.
#[derive(Debug)]
pub(crate) struct Traffic {
    scale: Scale,
    addresses: Vec<SocketAddrV4>,
    /// The number of targets per service, used as its share of new flows.
    target_counts: Vec<usize>,
    flows: Vec<FlowRecord>,
    rng: Xoshiro256PlusPlus,
}

impl Traffic {
    pub(crate) fn new(user: &UserGroup, scale: Scale, seed: u64) -> Self {
        Self {
            scale,
            addresses: user.services.iter().map(|s| s.address()).collect(),
            target_counts: user.services.iter().map(|s| s.target_count).collect(),
            flows: Vec::with_capacity(scale.flows * 2),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    /// Returns the flow with this index.
    pub(crate) fn flow(&mut self, index: u32) -> &mut FlowRecord {
        &mut self.flows[index as usize]
    }

    /// Returns the index of the flow with this key.
    pub(crate) fn index_of(key: &FlowKey) -> u32 {
        key.caller.ip().to_bits() - FIRST_CALLER_ADDRESS
    }

    /// Returns the number of flows created so far.
    pub(crate) fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Creates a flow of a random service; services get flows in proportion to their targets.
    pub(crate) fn open(&mut self, now: u64) -> u32 {
        let mut pick = self
            .rng
            .random_range(0..self.target_counts.iter().sum::<usize>());
        let mut service = 0;
        while pick >= self.target_counts[service] {
            pick -= self.target_counts[service];
            service += 1;
        }
        self.open_for(now, service)
    }

    /// Creates a flow of the given service.
    pub(crate) fn open_for(&mut self, now: u64, service: usize) -> u32 {
        let index = self.flows.len() as u32;
        // One caller address per flow makes keys unique; the random port makes the flow hashes
        // depend on the seed.
        let address = Ipv4Addr::from_bits(FIRST_CALLER_ADDRESS + index);
        let port = self.rng.random_range(FIRST_PORT..u16::MAX);
        let lifetime = self.exponential(self.scale.mean_lifetime_s);
        self.flows.push(FlowRecord {
            key: FlowKey {
                caller: SocketAddrV4::new(address, port),
                service: self.addresses[service],
            },
            service: service as u8,
            state: FlowState::Opening,
            closes_at: now + lifetime,
            last_sent: now,
            last_delivered: now,
        });
        index
    }

    /// Returns the time until the next new flow in microseconds.
    ///
    /// The ramp-up rate applies until the population is complete.
    pub(crate) fn next_arrival(&mut self) -> u64 {
        let rate = if self.flows.len() < self.scale.flows {
            self.scale.ramp_up_rate
        } else {
            self.scale.arrival_rate()
        };
        self.exponential(1.0 / rate)
    }

    /// Returns the time until the next packet of a flow in microseconds.
    pub(crate) fn next_packet(&mut self) -> u64 {
        self.exponential(self.scale.packet_interval_s)
    }

    /// Returns a random one of `members`, as the fabric chooses the balancer of a packet.
    pub(crate) fn choose_balancer(&mut self, members: &[usize]) -> usize {
        members[self.rng.random_range(0..members.len())]
    }

    /// Returns an exponentially distributed time in microseconds.
    fn exponential(&mut self, mean_s: f64) -> u64 {
        let u: f64 = self.rng.random();
        (-(1.0 - u).ln() * mean_s * SECOND as f64) as u64 + 1
    }
}
