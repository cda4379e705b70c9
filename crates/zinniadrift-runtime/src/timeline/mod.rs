//! The time line: the state changes of all processes in causal order.
//!
//! In each daemon a [`Recorder`] timestamps events and sends them within the budget for control
//! traffic. The [`Collector`] merges the events of all processes and serves them to
//! `zinniadrift-timeline show`.

mod collector;
mod event;
mod fetch;
mod filter;
mod hybrid_clock;
mod recorder;
mod sender;
mod service;

pub use collector::{Collector, DEFAULT_CAPACITY};
pub use event::Event;
pub use fetch::fetch_events;
pub use filter::Filter;
pub use hybrid_clock::HybridClock;
pub use recorder::{Recorder, Subject};
pub use sender::{REPORT_BURST_BYTES, REPORT_BYTES_PER_S};
pub use service::serve_collector;
