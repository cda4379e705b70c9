use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_platform::{HttpStore, Object, ObjectStore};

const WATCH_WAIT: Duration = Duration::from_secs(30);
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Watches a user's settings in the platform and sends each accepted catalog to `tx`.
///
/// Ends when `stop` is cancelled or the receiver is gone.
pub async fn watch_settings(
    store: HttpStore,
    user: Box<str>,
    tx: mpsc::Sender<Arc<ServiceCatalog>>,
    stop: CancellationToken,
) {
    let key = format!("settings/{user}");
    let mut seen = 0;
    loop {
        let objects = tokio::select! {
            () = stop.cancelled() => return,
            result = store.watch(&key, seen, WATCH_WAIT) => result,
        };
        match objects {
            Ok(objects) => {
                for object in objects {
                    seen = seen.max(object.revision);
                    if !offer(&object, &tx).await {
                        return;
                    }
                }
            }
            Err(e) => {
                tracing::debug!(error = %e, "settings watch failed");
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = tokio::time::sleep(RETRY_DELAY) => {}
                }
            }
        }
    }
}

async fn offer(object: &Object, tx: &mpsc::Sender<Arc<ServiceCatalog>>) -> bool {
    match ServiceCatalog::parse(object.value.to_string().as_bytes()) {
        Ok(catalog) => tx.send(Arc::new(catalog)).await.is_ok(),
        Err(faults) => {
            tracing::error!(key = %object.key, fault = %faults[0], "settings refused");
            true
        }
    }
}
