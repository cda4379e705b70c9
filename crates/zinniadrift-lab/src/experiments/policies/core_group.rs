use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::balancer::{BalancerSettings, TargetReport};
use zinniadrift_core::flow::{FlowKey, PacketKind};
use zinniadrift_core::membership::MemberState;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

use super::FlowPolicy;
use crate::experiments::fleet::{MEMBERS, UserGroup};
use crate::harness::{Delivery, Group};

/// Bytes per remembered flow, the upper end of section 3.2 of the design; `measure cost` gives the
/// measured figure `bytes_per_flow`.
const FLOW_BYTES: u64 = 24;

/// Runs the real core on all members.
#[derive(Debug)]
pub(crate) struct CoreGroup {
    group: Group,
    relayed_by_stopped: u64,
}

impl CoreGroup {
    /// Starts all members of a user's group.
    pub(crate) fn start(user: &UserGroup, seed: u64) -> Self {
        let template = BalancerSettings {
            seed,
            ..BalancerSettings::default()
        };
        let mut group = Group::new(seed, template);
        for i in 0..MEMBERS {
            group.join(&format!("{}-balancer-{i}", user.name), user.zone(i));
        }
        Self {
            group,
            relayed_by_stopped: 0,
        }
    }
}

impl FlowPolicy for CoreGroup {
    fn run_until(&mut self, now: MonoTime) {
        self.group.run_until(now);
    }

    fn packet(&mut self, member: usize, flow: FlowKey, kind: PacketKind) {
        self.group.send_packet(member, flow, kind);
    }

    fn take_deliveries(&mut self) -> Vec<Delivery> {
        self.group.take_deliveries()
    }

    fn settings(&mut self, member: usize, catalog: &Arc<ServiceCatalog>, delay: Duration) {
        self.group.deliver_settings(member, catalog, delay);
    }

    fn report(&mut self, report: TargetReport) {
        self.group.broadcast_report(report);
    }

    fn restart(&mut self, member: usize) {
        self.relayed_by_stopped += self.group.members[member].core.counters().relayed;
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
        relayed + self.relayed_by_stopped
    }

    fn state_bytes(&self) -> u64 {
        let running = self.group.members.iter().filter(|m| m.alive);
        let flows: Vec<u64> = running.map(|m| m.core.flow_count() as u64).collect();
        flows.iter().sum::<u64>() * FLOW_BYTES / flows.len().max(1) as u64
    }
}
