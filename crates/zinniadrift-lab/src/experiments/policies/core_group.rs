use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::balancer::{BalancerSettings, TargetReport};
use zinniadrift_core::flow::{FlowKey, PacketKind};
use zinniadrift_core::membership::MemberState;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

use super::FlowPolicy;
use crate::experiments::fleet::{MEMBER_COUNT, UserGroup};
use crate::harness::{Delivery, Group};

/// The bytes of state per flow: the upper end of the range in section 3.2 of the design.
///
/// The experiment `cost` measures the actual value as `bytes_per_flow`.
const BYTES_PER_FLOW: u64 = 24;

/// A group of members that run the core under test.
#[derive(Debug)]
pub(crate) struct CoreGroup {
    group: Group,
    relayed_before_restart: u64,
}

impl CoreGroup {
    /// Starts all members of the user's group.
    pub(crate) fn start(user: &UserGroup, seed: u64) -> Self {
        let template = BalancerSettings {
            seed,
            ..BalancerSettings::default()
        };
        let mut group = Group::new(seed, template);
        for i in 0..MEMBER_COUNT {
            group.join(&format!("{}-balancer-{i}", user.name), user.zone(i));
        }
        Self {
            group,
            relayed_before_restart: 0,
        }
    }
}

impl FlowPolicy for CoreGroup {
    fn run_until(&mut self, now: MonoTime) {
        self.group.run_until(now);
    }

    fn send_packet(&mut self, member: usize, flow: FlowKey, kind: PacketKind) {
        self.group.send_packet(member, flow, kind);
    }

    fn take_deliveries(&mut self) -> Vec<Delivery> {
        self.group.take_deliveries()
    }

    fn deliver_settings(&mut self, member: usize, catalog: &Arc<ServiceCatalog>, delay: Duration) {
        self.group.deliver_settings(member, catalog, delay);
    }

    fn broadcast_report(&mut self, report: TargetReport) {
        self.group.broadcast_report(report);
    }

    fn restart(&mut self, member: usize) {
        self.relayed_before_restart += self.group.members[member].core.counters().relayed;
        self.group.restart(member);
    }

    fn leave(&mut self, member: usize) {
        self.group.leave(member);
    }

    fn kill(&mut self, member: usize) {
        self.group.kill(member);
    }

    fn is_running(&self, member: usize) -> bool {
        self.group.members[member].alive
    }

    fn is_serving(&self, member: usize) -> bool {
        let m = &self.group.members[member];
        m.alive && m.core.state() == MemberState::Serving
    }

    fn control_bytes(&self, member: usize) -> u64 {
        let m = &self.group.members[member];
        m.bytes_sent() + m.bytes_received()
    }

    fn relayed(&self) -> u64 {
        let members = self.group.members.iter();
        let relayed: u64 = members.map(|m| m.core.counters().relayed).sum();
        relayed + self.relayed_before_restart
    }

    fn state_bytes(&self) -> u64 {
        let running = self.group.members.iter().filter(|m| m.alive);
        let flows: Vec<u64> = running.map(|m| m.core.flow_count() as u64).collect();
        flows.iter().sum::<u64>() * BYTES_PER_FLOW / flows.len().max(1) as u64
    }
}
