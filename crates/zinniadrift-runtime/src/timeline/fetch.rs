use std::net::SocketAddr;
use std::time::Duration;

use tonic::Status;
use tonic::transport::Endpoint;

use zinniadrift_proto::v1::TimelineQuery;
use zinniadrift_proto::v1::timeline_client::TimelineClient;

use super::{Event, Filter};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches the events that match the filter, in causal order, and the number of missing events.
///
/// # Errors
///
/// Fails if the collector cannot be reached or the query fails.
pub async fn fetch_events(from: SocketAddr, filter: Filter) -> Result<(Vec<Event>, u64), Status> {
    let endpoint = Endpoint::from_shared(format!("http://{from}"))
        .map_err(|e| Status::invalid_argument(e.to_string()))?
        .connect_timeout(CONNECT_TIMEOUT);
    let channel = endpoint
        .connect()
        .await
        .map_err(|e| Status::unavailable(format!("{from}: {e}")))?;
    let mut client = TimelineClient::new(channel);
    let mut parts = client
        .query(TimelineQuery::from(filter))
        .await?
        .into_inner();
    let mut events = Vec::new();
    let mut missing = 0;
    while let Some(part) = parts.message().await? {
        events.extend(part.events.into_iter().map(Event::from));
        missing += part.dropped;
    }
    Ok((events, missing))
}
