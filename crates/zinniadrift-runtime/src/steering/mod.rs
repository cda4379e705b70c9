//! The edge balancer: runs the state machine of [`zinniadrift_core::steering`] with sockets,
//! timers, calls to the platform's store and requests between peers.

mod daemon;
mod decision_log;
mod driver;
mod driver_counters;
mod edge_metrics;
mod edge_settings;
mod feed_task;
mod held_datagrams;
mod http_server;
mod input;
mod observation_task;
mod peer_message;
mod peer_service;
mod peer_task;
mod platform_adapter;
mod probe;
mod reload;
mod store_health;
mod supervisor;
mod waiting_packets;

pub use daemon::run_edge;
pub use edge_metrics::EDGE_METRIC_PREFIX;
pub(crate) use edge_metrics::{
    DRIVER_COUNTERS, DRIVER_GAUGES, HISTOGRAMS, STATE_GAUGES, STEERING_COUNTERS,
};
pub use edge_settings::EdgeSettings;
pub use platform_adapter::{Feed, FeedResponse, FeedUpdate, PlatformAdapter};
pub use reload::EdgeConfig;
