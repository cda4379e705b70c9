//! The balancer daemon: drives the balancer's state machine with sockets and timers.

mod daemon;
mod driver;
mod held_packets;
mod packet_counters;
mod record;

pub use daemon::run_balancer;
pub use held_packets::HeldPackets;
pub use packet_counters::PacketCounters;
