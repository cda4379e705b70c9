//! Which services a service address leads to, and the usual flows of each route.
//!
//! Versions only rise; the history lets a peer catch up by a difference.

pub(super) mod route;
pub(super) mod route_history;
pub(super) mod route_profile;
pub(super) mod route_table;
pub(super) mod service_warm_up;
