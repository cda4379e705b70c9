use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::balancer::TargetReport;
use zinniadrift_core::flow::{FlowKey, PacketKind};
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

use crate::harness::Delivery;

/// Runs the balancers of one user under a virtual clock.
///
/// Members are numbered from zero; all of them run from the start.
pub(crate) trait FlowPolicy {
    /// Runs everything that falls due until `now`.
    fn run_until(&mut self, now: MonoTime);

    /// Hands a packet to a member at the current time.
    fn packet(&mut self, member: usize, flow: FlowKey, kind: PacketKind);

    /// Returns and forgets the packets that reached their end.
    fn take_deliveries(&mut self) -> Vec<Delivery>;

    /// Gives a member settings after `delay`.
    fn settings(&mut self, member: usize, catalog: &Arc<ServiceCatalog>, delay: Duration);

    /// Gives every running member a report.
    fn report(&mut self, report: TargetReport);

    /// Starts a stopped member again, with empty memory.
    fn restart(&mut self, member: usize);

    /// Asks a member to stop gracefully.
    fn leave(&mut self, member: usize);

    /// Ends a member without notice.
    fn kill(&mut self, member: usize);

    /// Tells whether the member's process runs.
    fn is_running(&self, member: usize) -> bool;

    /// Tells whether the member announces itself as ready for traffic.
    fn is_serving(&self, member: usize) -> bool;

    /// Returns the control bytes that a member sent and received, with IP and UDP headers.
    fn control_bytes(&self, member: usize) -> u64;

    /// Returns the packets that one member passed to another.
    fn relayed(&self) -> u64;

    /// Returns the bytes of flow state, on average over the running members.
    fn state_bytes(&self) -> u64;
}
