//! Runs the balancer's state machine on sockets and timers.

mod daemon;
mod driver;
mod held_packets;
mod packet_counters;
mod record;

pub use daemon::run_balancer;
pub use held_packets::HeldPackets;
pub use packet_counters::PacketCounters;
