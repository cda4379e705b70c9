//! Runs [`zinniadrift_core::steering`] with sockets, timers, the store and peers.

mod answer_source;
mod border;
mod daemon;
mod driver;
mod edge_settings;
mod feed;
mod front;
mod log;
mod peer_client;
mod peer_snapshot;

pub use border::{Border, Feed, FeedAnswer, Update};
pub use daemon::run_edge;
pub use edge_settings::EdgeSettings;
pub use peer_snapshot::PeerSnapshot;
