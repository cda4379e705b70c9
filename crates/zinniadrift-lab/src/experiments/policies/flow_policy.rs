use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::balancer::TargetReport;
use zinniadrift_core::flow::{FlowKey, PacketKind};
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

use crate::harness::Delivery;

/// A policy for placing flows, run by the balancers of one user under a virtual clock.
///
/// Members are numbered from zero; all of them run from the start.
pub(crate) trait FlowPolicy {
    /// Advances the clock to `now` and runs all events that are due by then.
    fn run_until(&mut self, now: MonoTime);

    /// Delivers a packet to a member at the current virtual time.
    fn send_packet(&mut self, member: usize, flow: FlowKey, kind: PacketKind);

    /// Removes and returns the packets whose outcome is known.
    fn take_deliveries(&mut self) -> Vec<Delivery>;

    /// Delivers settings to a member after `delay`.
    fn deliver_settings(&mut self, member: usize, catalog: &Arc<ServiceCatalog>, delay: Duration);

    /// Delivers a target report to every running member.
    fn broadcast_report(&mut self, report: TargetReport);

    /// Restarts a stopped member without any of its former state.
    fn restart(&mut self, member: usize);

    /// Asks a member to stop gracefully.
    fn leave(&mut self, member: usize);

    /// Stops a member without notice, as in a crash.
    fn kill(&mut self, member: usize);

    /// Returns whether the member's process runs.
    fn is_running(&self, member: usize) -> bool;

    /// Returns whether the member announces itself as ready for traffic.
    fn is_serving(&self, member: usize) -> bool;

    /// Returns the control bytes that a member sent and received, including IP and UDP headers.
    fn control_bytes(&self, member: usize) -> u64;

    /// Returns the number of packets that one member relayed to another.
    fn relayed(&self) -> u64;

    /// Returns the mean bytes of flow state per running member.
    fn state_bytes(&self) -> u64;
}
