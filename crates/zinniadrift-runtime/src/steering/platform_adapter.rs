use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::steering::{
    Cookie, DirectoryListing, InstanceId, Revision, RouteTable, Segment, StoreCallError,
    TargetChange,
};

/// Translates between the core's types and the formats of a platform; it decides nothing.
pub trait PlatformAdapter: Send + Sync + 'static {
    /// Reads a packet of a caller; `None` if the datagram is none.
    fn decode(&self, datagram: &[u8]) -> Option<Segment>;

    /// Writes the datagram that carries a caller's packet to a target into `out`.
    fn encode_forward(
        &self,
        datagram: &[u8],
        instance_id: InstanceId,
        cookie: Cookie,
        out: &mut Vec<u8>,
    );

    /// Writes a reset of a flow into `out` and returns where it goes.
    fn encode_reset(&self, flow: FlowKey, seq: u32, out: &mut Vec<u8>) -> SocketAddr;

    /// Reads all objects of a feed from the store; with `stale` they may be seconds old.
    fn list(
        &self,
        feed: Feed,
        stale: bool,
    ) -> impl Future<Output = Result<FeedAnswer, StoreCallError>> + Send;

    /// Waits up to `wait` for changes of a feed after `from`.
    fn watch(
        &self,
        feed: Feed,
        from: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedAnswer, StoreCallError>> + Send;
}

/// Names a part of the store that a balancer follows.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Feed {
    /// The targets that are registered.
    Targets,
    /// The configuration.
    Routes,
}

/// Is an answer of the store.
#[derive(Clone, Debug)]
pub struct FeedAnswer {
    /// The revision up to which the answer holds everything.
    pub as_of: Revision,
    /// Whether the answer may be seconds old.
    pub stale: bool,
    /// What is new; `None` if nothing changed.
    pub update: Option<Update>,
}

/// Is new knowledge from the store.
#[derive(Clone, Debug)]
pub enum Update {
    /// All targets.
    Listing(DirectoryListing),
    /// Changed targets.
    Changes(Vec<TargetChange>),
    /// The newest configuration.
    Routes(Arc<RouteTable>),
}
