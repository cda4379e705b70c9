//! What a balancer observes of a target: its load, response time and signs of life.
//!
//! Answers targets that die without a word, turn slow or are cut off with their zone. A target counts
//! as dead only after callers repeat and a probe fails.

pub(super) mod liveness;
pub(super) mod probing;
pub(super) mod target_record;
pub(super) mod warm_up_limit;
pub(super) mod warm_up_settings;
pub(super) mod zone_change;
pub(super) mod zone_drain_settings;
pub(super) mod zone_drains;
pub(super) mod zone_health;
