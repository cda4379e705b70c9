use std::time::Duration;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use zinniadrift_store::{HttpStore, ObjectStore};

use super::DaemonStatus;

/// Members learn of each other by heartbeats; the list only finds members that no heartbeat reached.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// The interval after a start or a failure, until peers are known.
const FIRST_INTERVAL: Duration = Duration::from_secs(1);
const FIRST_READS: u32 = 10;

/// Reads the user's status objects from time to time and sends them to `tx`.
pub(crate) async fn poll_statuses(
    store: HttpStore,
    user: Box<str>,
    tx: mpsc::Sender<Vec<DaemonStatus>>,
    stop: CancellationToken,
) {
    let prefix = format!("status/{user}/");
    let mut reads = 0;
    loop {
        let listed = tokio::select! {
            () = stop.cancelled() => return,
            listed = store.list(&prefix) => listed,
        };
        match listed {
            Ok(objects) => {
                let parsed = objects.into_iter().map(|o| serde_json::from_value(o.value));
                let statuses = parsed.filter_map(Result::ok).collect();
                if tx.send(statuses).await.is_err() {
                    return;
                }
            }
            Err(e) => tracing::debug!(error = %e, "status list not read"),
        }
        reads += 1;
        let wait = if reads < FIRST_READS {
            FIRST_INTERVAL
        } else {
            READ_INTERVAL
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(wait) => {}
        }
    }
}
