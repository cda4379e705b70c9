//! The exchange of datagrams and calls with the other daemons of a user's group.

mod claim_call;
mod link;
mod peer_counters;
mod pull;
mod service;

pub(crate) use claim_call::ClaimCall;
pub(crate) use link::{PeerLink, ReceivedMessage};
pub use peer_counters::PeerCounters;
pub(crate) use pull::pull_document;
pub(crate) use service::{PeerService, serve_peers};
