//! Maglev hashing and rate limiting.

mod maglev_table;
mod token_bucket;

pub use maglev_table::{BUCKETS, MaglevTable};
pub use token_bucket::TokenBucket;
