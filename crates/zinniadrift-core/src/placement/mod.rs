//! Maps buckets of flows to targets.

mod table;

pub use table::{BUCKETS, Table};
