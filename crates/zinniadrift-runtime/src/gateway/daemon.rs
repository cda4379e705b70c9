use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::driver::{Driver, DriverInputs};
use super::http_frontend::{HttpFrontend, handle_request};
use crate::daemon::{BindSnafu, DaemonError, DaemonSettings, Role, SharedTasks};

/// The capacity of the queue of requests that the driver has not accepted yet.
const REQUEST_QUEUE_CAPACITY: usize = 1_024;
const CLAIM_QUEUE_CAPACITY: usize = 256;
/// The time that remains after `stop` to write responses to slow callers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves requests until the process has been asked to stop and the gateway has drained.
///
/// # Errors
///
/// Fails if a socket cannot be bound.
pub async fn run_gateway(cfg: DaemonSettings) -> Result<(), DaemonError> {
    let listener = TcpListener::bind(cfg.listen).await.context(BindSnafu {
        address: cfg.listen.to_string(),
    })?;
    let (requests_tx, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    let (claims_tx, claims) = mpsc::channel(CLAIM_QUEUE_CAPACITY);
    let (cancellations_tx, cancellations) = mpsc::unbounded_channel();
    let (shared, link, inputs, outlets) =
        SharedTasks::start(cfg, Role::Gateway, None, Some(claims_tx)).await?;
    let catalog = shared.catalog_rx.clone();
    let frontend = Arc::new(HttpFrontend::new(
        shared.clock,
        catalog,
        requests_tx,
        cancellations_tx,
    ));
    let service = serve_callers(listener, frontend, shared.stop.clone());
    shared.tasks.spawn(service);
    shared.record_start(Role::Gateway);
    let inputs = DriverInputs {
        requests,
        cancellations,
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
async fn serve_callers(
    listener: TcpListener,
    frontend: Arc<HttpFrontend>,
    stop: CancellationToken,
) {
    let app = Router::new().fallback(handle_request).with_state(frontend);
    let server = axum::serve(listener, app).with_graceful_shutdown(stop.clone().cancelled_owned());
    let close_deadline = async {
        stop.cancelled().await;
        tokio::time::sleep(CLOSE_TIMEOUT).await;
    };
    tokio::select! {
        served = server.into_future() => {
            if let Err(e) = served {
                tracing::error!(error = %e, "HTTP server for callers failed");
            }
        }
        () = close_deadline => tracing::debug!("connections still open after the close time-out"),
    }
}
