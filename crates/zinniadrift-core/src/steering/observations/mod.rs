//! What balancers know together of targets: response times, requests under way, death.
//!
//! Each balancer reports what it saw of its flows' targets to the peer that it requests updates
//! from, merged with the reports of the balancers behind it, and gets the merged table of all
//! balancers back. `placement` uses the speed, the silence and the last answer of a target. Nothing
//! here takes effect unless `ObservationSettings::enabled` is set.

pub(super) mod observation_age;
pub(super) mod observation_report;
pub(super) mod observation_settings;
pub(super) mod observation_table;
pub(super) mod observed;
pub(super) mod own_observation;
pub mod packed;
pub(super) mod reporter_id;
pub(super) mod response_level;
pub(super) mod sharing;
pub(super) mod smoothed_level;
pub(super) mod suspicion;
pub(super) mod table_entry;
pub(super) mod target_observation;
pub(super) mod unanswered_opens;
