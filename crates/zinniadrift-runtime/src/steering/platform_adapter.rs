use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::ids::ZoneName;
use zinniadrift_core::steering::{
    Cookie, DirectoryListing, InstanceId, ListExtent, Position, RouteTable, Segment,
    StoreCallError, TargetChange, ZoneChange,
};

/// An adapter that translates between the core's types and the formats of a platform.
///
/// It makes no routing or placement decisions.
pub trait PlatformAdapter: Send + Sync + 'static {
    /// Decodes a caller's packet; `None` if the datagram is not a valid packet.
    fn decode(&self, datagram: &[u8]) -> Option<Segment>;

    /// Encodes into `out` the datagram that forwards a caller's packet to a target.
    fn encode_forward(
        &self,
        datagram: &[u8],
        instance_id: InstanceId,
        cookie: Cookie,
        out: &mut Vec<u8>,
    );

    /// Encodes a reset of a flow into `out` and returns the address to send it to.
    fn encode_reset(&self, flow: FlowKey, seq: u32, out: &mut Vec<u8>) -> SocketAddr;

    /// Lists the objects of a feed; with `stale`, the response may be seconds old.
    fn list(
        &self,
        feed: Feed,
        stale: bool,
        extent: ListExtent,
    ) -> impl Future<Output = Result<FeedResponse, StoreCallError>> + Send;

    /// Watches a feed: waits up to `wait` for changes after the revision `from`.
    fn watch(
        &self,
        feed: Feed,
        from: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedResponse, StoreCallError>> + Send;
}

/// A kind of objects in the platform's store that a balancer watches.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Feed {
    /// The registered targets.
    Targets,
    /// The configuration, which holds the routes.
    Routes,
    /// The availability zones that are out of service.
    ZoneDrains,
}

/// The store's response to a list or a watch.
#[derive(Clone, Debug)]
pub struct FeedResponse {
    /// The revision up to which the response is complete.
    pub as_of: Position,
    /// Whether the response may be seconds old.
    pub stale: bool,
    /// The new content; `None` if nothing changed.
    pub update: Option<FeedUpdate>,
}

/// New content of a feed.
#[derive(Clone, Debug)]
pub enum FeedUpdate {
    /// The full list of targets.
    Listing(DirectoryListing),
    /// The changes of single targets.
    Changes(Vec<TargetChange>),
    /// The newest configuration.
    Routes(Arc<RouteTable>),
    /// The full list of drained zones.
    ZoneDrains(BTreeSet<ZoneName>),
    /// The changes of single zones, oldest first.
    ZoneChanges(Vec<ZoneChange>),
}
