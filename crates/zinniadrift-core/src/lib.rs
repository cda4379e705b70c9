//! Load-balancing core: selects the target of each flow and request, without I/O.
//!
//! The state machines take events with a timestamp and return actions; nothing in this crate reads
//! a clock, a socket or the environment. The daemons, the experiments and the tests drive the same
//! state machines.
//!
//! ```
//! use zinniadrift_core::placement::MaglevTable;
//! use zinniadrift_core::units::Weight;
//!
//! let table = MaglevTable::build(&[("a".into(), Weight::default()), ("b".into(), Weight::default())]);
//! assert!(table.bucket_owner(7).is_some());
//! ```

mod number;
mod ordered_map;

pub mod balancer;
pub mod claim;
pub mod distribution;
pub mod error;
pub mod flow;
pub mod gateway;
pub mod ids;
pub mod membership;
pub mod placement;
pub mod settings;
pub mod steering;
pub mod units;
