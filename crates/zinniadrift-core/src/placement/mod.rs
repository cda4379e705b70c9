//! Maps buckets of flows to targets and limits rates.

mod maglev_table;
mod token_bucket;

pub use maglev_table::{BUCKETS, MaglevTable};
pub use token_bucket::TokenBucket;
