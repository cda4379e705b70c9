use std::net::{Ipv4Addr, SocketAddrV4};

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::flow::FlowKey;

use super::flow_record::{FlowRecord, FlowState};
use super::{SECOND, Scale, UserGroup};

const FIRST_CALLER: u32 = u32::from_be_bytes([10, 0, 0, 0]);
const FIRST_PORT: u16 = 1_024;

/// Generates flows and the times of their packets.
#[derive(Debug)]
pub(crate) struct Traffic {
    scale: Scale,
    addresses: Vec<SocketAddrV4>,
    shares: Vec<usize>,
    flows: Vec<FlowRecord>,
    rng: Xoshiro256PlusPlus,
}

impl Traffic {
    pub(crate) fn new(user: &UserGroup, scale: Scale, seed: u64) -> Self {
        Self {
            scale,
            addresses: user.services.iter().map(|s| s.address()).collect(),
            shares: user.services.iter().map(|s| s.targets).collect(),
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
        key.caller.ip().to_bits() - FIRST_CALLER
    }

    /// Returns the number of flows created so far.
    pub(crate) fn created(&self) -> usize {
        self.flows.len()
    }

    /// Creates a flow of a random service; services get flows in proportion to their targets.
    pub(crate) fn open(&mut self, now: u64) -> u32 {
        let mut pick = self.rng.random_range(0..self.shares.iter().sum::<usize>());
        let mut service = 0;
        while pick >= self.shares[service] {
            pick -= self.shares[service];
            service += 1;
        }
        self.open_for(now, service)
    }

    /// Creates a flow of the given service.
    pub(crate) fn open_for(&mut self, now: u64, service: usize) -> u32 {
        let index = self.flows.len() as u32;
        // One address per flow makes keys unique; the random port varies the hashes with the seed.
        let address = Ipv4Addr::from_bits(FIRST_CALLER + index);
        let port = self.rng.random_range(FIRST_PORT..u16::MAX);
        let life = self.exponential(self.scale.mean_lifetime_s);
        self.flows.push(FlowRecord {
            key: FlowKey {
                caller: SocketAddrV4::new(address, port),
                service: self.addresses[service],
            },
            service: service as u8,
            state: FlowState::Opening,
            ends_at: now + life,
            sent: now,
            last_ok: now,
        });
        index
    }

    /// Returns the virtual time until the next new flow; the population is filled first.
    pub(crate) fn next_arrival(&mut self) -> u64 {
        let rate = if self.flows.len() < self.scale.flows {
            self.scale.ramp_up_rate
        } else {
            self.scale.arrival_rate()
        };
        self.exponential(1.0 / rate)
    }

    /// Returns the virtual time until the next packet of a flow.
    pub(crate) fn next_packet(&mut self) -> u64 {
        self.exponential(self.scale.packet_interval_s)
    }

    /// Draws the balancer that the fabric hands a packet to.
    pub(crate) fn spray(&mut self, members: &[usize]) -> usize {
        members[self.rng.random_range(0..members.len())]
    }

    fn exponential(&mut self, mean_s: f64) -> u64 {
        let u: f64 = self.rng.random();
        (-(1.0 - u).ln() * mean_s * SECOND as f64) as u64 + 1
    }
}
