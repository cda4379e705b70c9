//! How a balancer keeps its directory and routes current from the store and from peers.
//!
//! Answers a store that is down, slow, partial or without history, and keeps the number of calls flat
//! as balancers are added.

pub(super) mod directory_listing;
pub(super) mod era;
pub(super) mod fan_out;
pub(super) mod pause_count;
pub(super) mod pause_detector;
pub(super) mod peer_selector;
pub(super) mod peer_update;
pub(super) mod position;
pub(super) mod revision;
pub(super) mod sync_status;
pub(super) mod updates;
pub(super) mod watch_loop;
pub(super) mod watch_settings;
pub(super) mod zone_drains_update;
pub(super) mod zone_updates;
