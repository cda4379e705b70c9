use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::driver::{Driver, Inputs};
use super::front::{Front, serve};
use crate::daemon::{BindSnafu, DaemonError, DaemonSettings, Role, SharedTasks};

/// The capacity of the queue of requests that the driver has not accepted yet.
const CALL_QUEUE: usize = 1_024;
const CLAIM_QUEUE: usize = 256;
/// The time that remains after `stop` to write responses to slow callers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves requests until the process receives a shutdown signal.
///
/// # Errors
///
/// Fails if a socket cannot be bound.
pub async fn run_gateway(cfg: DaemonSettings) -> Result<(), DaemonError> {
    let listener = TcpListener::bind(cfg.listen).await.context(BindSnafu {
        address: cfg.listen.to_string(),
    })?;
    let (calls_tx, calls) = mpsc::channel(CALL_QUEUE);
    let (claims_tx, claims) = mpsc::channel(CLAIM_QUEUE);
    let (cancels_tx, cancels) = mpsc::unbounded_channel();
    let (shared, link, inputs, outlets) =
        SharedTasks::start(cfg, Role::Gateway, None, Some(claims_tx)).await?;
    let catalog = shared.catalog_rx.clone();
    let front = Arc::new(Front::new(shared.clock, catalog, calls_tx, cancels_tx));
    let service = serve_callers(listener, front, shared.stop.clone());
    shared.tasks.spawn(service);
    shared.started(Role::Gateway);
    let inputs = Inputs {
        calls,
        cancels,
        claims,
        shared: inputs,
    };
    let (store, recorder) = (shared.store.clone(), shared.recorder.clone());
    let mut driver = Driver::new(
        shared.cfg.clone(),
        shared.clock,
        store,
        link,
        recorder,
        outlets,
    );
    driver.run(inputs).await;
    drop(driver);
    shared.finish(Role::Gateway).await;
    Ok(())
}

/// Serves callers until `stop` is cancelled, then finishes writing responses within
/// [`CLOSE_TIMEOUT`].
async fn serve_callers(listener: TcpListener, front: Arc<Front>, stop: CancellationToken) {
    let app = Router::new().fallback(serve).with_state(front);
    let server = axum::serve(listener, app).with_graceful_shutdown(stop.clone().cancelled_owned());
    let limit = async {
        stop.cancelled().await;
        tokio::time::sleep(CLOSE_TIMEOUT).await;
    };
    tokio::select! {
        served = server.into_future() => {
            if let Err(e) = served {
                tracing::error!(error = %e, "HTTP server for callers failed");
            }
        }
        () = limit => tracing::debug!("connections of callers still open after the close time-out"),
    }
}
