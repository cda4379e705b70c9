use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http::StatusCode;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::ids::{ServiceId, TargetId};
use zinniadrift_core::settings::ServiceCatalog;

use super::PollResult;
use super::poll_result::Load;

/// The interval between polls.
///
/// Three polls fit into the 10 s within which a dead target must be taken out of use.
const POLL_INTERVAL: Duration = Duration::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CONCURRENT_POLLS: usize = 16;
const MAX_RESPONSE_BYTES: usize = 4_096;

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// Polls all targets of the catalog in force until `stop` is cancelled, and sends the results to
/// `tx`.
pub(crate) async fn poll_targets(
    catalog: watch::Receiver<Arc<ServiceCatalog>>,
    tx: mpsc::Sender<PollResult>,
    stop: CancellationToken,
) {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CALL_TIMEOUT));
    let client: HttpClient = Client::builder(TokioExecutor::new()).build(connector);
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let catalog = catalog.borrow().clone();
        tokio::select! {
            () = stop.cancelled() => return,
            () = poll_all(&client, &catalog, &tx) => {}
        }
    }
}

async fn poll_all(client: &HttpClient, catalog: &ServiceCatalog, tx: &mpsc::Sender<PollResult>) {
    let targets = catalog.services.iter().flat_map(|s| {
        let targets = s.targets.iter();
        targets.map(|t| (s.id, t.id, t.address))
    });
    let targets: Vec<(ServiceId, TargetId, SocketAddr)> = targets.collect();
    stream::iter(targets)
        .for_each_concurrent(MAX_CONCURRENT_POLLS, async |(service, target, address)| {
            let health = get(client, address, "health").await;
            let load = get(client, address, "load").await;
            let result = PollResult {
                service,
                target,
                load: load.and_then(|b| serde_json::from_slice::<Load>(&b).ok()),
                healthy: health.is_some(),
            };
            // The receiver is dropped only when the daemon stops.
            let _ = tx.send(result).await;
        })
        .await;
}

/// Returns the body of a response with status 200; `None` on any failure.
async fn get(client: &HttpClient, address: SocketAddr, path: &str) -> Option<Bytes> {
    let uri = format!("http://{address}/{path}").parse().ok()?;
    let call = async {
        let resp = client.get(uri).await.ok()?;
        if resp.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(resp.into_body(), MAX_RESPONSE_BYTES);
        body.collect()
            .await
            .ok()
            .map(http_body_util::Collected::to_bytes)
    };
    timeout(CALL_TIMEOUT, call).await.ok().flatten()
}
