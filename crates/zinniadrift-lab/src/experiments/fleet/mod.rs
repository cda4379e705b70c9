//! Simulation of one user's balancers, targets and callers under a virtual clock.

mod change;
mod event_queue;
mod flow_record;
mod phase;
mod report_delay_line;
mod scale;
mod settings_editor;
mod simulation;
mod tally;
mod targets;
mod traffic;
mod user_group;

pub(crate) use change::{Action, Cause, Change};
pub(crate) use event_queue::EventQueue;
pub(crate) use phase::Phase;
pub use scale::Scale;
pub(crate) use simulation::Simulation;
pub(crate) use tally::Tally;
pub(crate) use targets::{LoadSpread, Targets};
pub(crate) use user_group::{MEMBER_COUNT, USER_GROUPS, UserGroup};

/// The virtual time between two samples of the load spread, in seconds.
pub(crate) const SAMPLE_INTERVAL_S: u64 = 10;
/// Microseconds per millisecond of virtual time.
pub(crate) const MILLISECOND: u64 = 1_000;
/// Microseconds per second of virtual time.
pub(crate) const SECOND: u64 = 1_000_000;
