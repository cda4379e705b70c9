//! Where a packet of an open flow goes, and what it shows about its target.
//!
//! The cookie alone decides; tracked flows only feed the estimates in `targets` and `placement`.

pub(super) mod flow_tracker;
pub(super) mod open_flows;
pub(super) mod open_timer;
pub(super) mod segment;
pub(super) mod tracked_flow;
