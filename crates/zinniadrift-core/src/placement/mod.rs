//! Maps buckets of flows to targets and limits rates.

mod table;
mod token_bucket;

pub use table::{BUCKETS, Table};
pub use token_bucket::TokenBucket;
