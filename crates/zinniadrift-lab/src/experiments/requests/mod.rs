//! Measures how gateways dispatch requests and claim non-idempotent work.

mod callers;
mod environment;
mod event;
mod event_queue;
mod fake_store;
mod fake_target;
mod fake_targets;
mod figures;
mod gateway_process;
mod history;
mod ideal_queue;
mod job;
mod latency;
mod policy;
mod run_variation;
mod settings;
mod simulation;
mod user;
mod workload;

pub use callers::Callers;
pub use fake_store::FakeStore;
pub use fake_target::FakeTarget;
pub use fake_targets::FakeTargets;
pub use figures::EXPERIMENT;
pub use history::{EntryKind, History, HistoryEntry};
pub use ideal_queue::ideal_queue;
pub use job::{CallerOutcome, Job, Request, UnknownCause};
pub use policy::Policy;
pub use run_variation::RunVariation;
pub use settings::{Faults, SimulationSettings};
pub use simulation::Simulation;
pub use workload::{WORKLOAD_START, Workload};
