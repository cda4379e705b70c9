use std::time::Duration;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use zinniadrift_store::{HttpStore, ObjectStore};

use super::DaemonStatus;

/// The interval between reads of the status list.
///
/// Members find each other by heartbeats; the list is only needed for members that no heartbeat
/// reached.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// The interval between the first [`INITIAL_POLLS`] reads; peers are found soon after a start.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_secs(1);
const INITIAL_POLLS: u32 = 10;

/// Reads the user's status objects periodically and sends them to `tx` until `stop` is cancelled.
///
/// Malformed objects are skipped.
pub(crate) async fn poll_statuses(
    store: HttpStore,
    user: Box<str>,
    tx: mpsc::Sender<Vec<DaemonStatus>>,
    stop: CancellationToken,
) {
    let prefix = format!("status/{user}/");
    let mut polls = 0;
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
            Err(e) => tracing::debug!(error = %e, "cannot read the status list"),
        }
        polls += 1;
        let wait = if polls < INITIAL_POLLS {
            INITIAL_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(wait) => {}
        }
    }
}
