//! Measures request dispatch and claims.

mod backends;
mod callers;
mod event;
mod fake_store;
mod fake_target;
mod figures;
mod history;
mod ideal_queue;
mod latency;
mod load;
mod node;
mod policy;
mod schedule;
mod settings;
mod user;
mod work;
mod world;
mod world_changes;

pub use backends::Backends;
pub use callers::Callers;
pub use fake_store::FakeStore;
pub use fake_target::FakeTarget;
pub use figures::EXPERIMENT;
pub use history::{EntryKind, History, HistoryEntry};
pub use ideal_queue::ideal_queue;
pub use load::{Load, START};
pub use policy::Policy;
pub use settings::{Faults, WorldSettings};
pub use work::{Ask, Cause, Ending, Work};
pub use world::World;
