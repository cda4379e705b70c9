//! Tests of the steering state machine, which keeps flows on their targets by cookies, under a
//! virtual clock.

mod admission;
mod capacity_shares;
mod configuration;
mod consistency;
mod cookies;
mod ended_targets;
mod fan_out;
mod fleet;
mod liveness;
mod observations;
mod placement;
mod refusals;
mod refused_opens;
mod relays;
mod reproducibility;
mod robustness;
mod room;
mod store_model;
mod store_returns;
mod warm_up_limit;
mod watch_loop;
mod world;
mod zone_drains;
