use std::sync::Arc;

use snafu::ResultExt;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use zinniadrift_core::steering::Steering;

use super::driver::{Driver, DriverCounters};
use super::feed::FeedTask;
use super::front::{SNAPSHOT_PATH, listen, serve_readiness, serve_text};
use super::log::DecisionLog;
use super::peer_client::PeerClient;
use super::{Border, EdgeSettings, Feed};
use crate::daemon::{BindSnafu, DaemonError, RunClock, shutdown_signal};

/// The queue between tasks and the driver; the driver takes inputs faster than they arrive.
const QUEUE: usize = 16;

/// Forwards packets until the process is asked to stop.
///
/// # Errors
///
/// Fails if a socket cannot be opened.
pub async fn run_edge<B: Border>(border: B, cfg: EdgeSettings) -> Result<(), DaemonError> {
    let clock = RunClock::start();
    let bind = |address: String| BindSnafu { address };
    let socket = UdpSocket::bind(cfg.packets).await;
    let socket = socket.context(bind(cfg.packets.to_string()))?;
    let readiness = listen(cfg.readiness).await;
    let readiness = readiness.context(bind(cfg.readiness.to_string()))?;

    let border = Arc::new(border);
    let (stop, leave) = (CancellationToken::new(), CancellationToken::new());
    let tasks = TaskTracker::new();
    let (ready, ready_rx) = watch::channel(false);
    let (pauses, pauses_rx) = watch::channel(0);
    let (tx, knowledge) = mpsc::channel(QUEUE);
    let mut failing = Vec::new();
    for feed in [Feed::Targets, Feed::Routes] {
        let (failing_tx, failing_rx) = watch::channel(false);
        failing.push(failing_rx);
        let task = FeedTask {
            border: Arc::clone(&border),
            feed,
            cfg: cfg.watch.clone(),
            clock,
            tx: tx.clone(),
            failing: failing_tx,
            pauses: pauses_rx.clone(),
            stop: stop.clone(),
        };
        tasks.spawn(task.run());
    }
    tasks.spawn(serve_readiness(readiness, ready_rx, stop.clone()));

    let (snapshots_tx, snapshots) = mpsc::channel(QUEUE);
    if let Some(address) = cfg.peer {
        let listener = listen(address).await.context(bind(address.to_string()))?;
        let json = "application/json";
        tasks.spawn(serve_text(
            listener,
            SNAPSHOT_PATH,
            json,
            snapshots_tx,
            stop.clone(),
        ));
    }
    let (metrics_tx, metrics) = mpsc::channel(QUEUE);
    if let Some(address) = cfg.metrics {
        let listener = listen(address).await.context(bind(address.to_string()))?;
        let text = "text/plain";
        tasks.spawn(serve_text(
            listener,
            "/metrics",
            text,
            metrics_tx,
            stop.clone(),
        ));
    }
    if let Ok(failing) = failing.try_into() {
        let client = PeerClient {
            peers: cfg.seeds.clone(),
            own: cfg.peer,
            failing,
            tx,
            stop: stop.clone(),
        };
        tasks.spawn(client.run());
    }
    let asked = leave.clone();
    let over = stop.clone();
    tasks.spawn(async move {
        tokio::select! {
            () = shutdown_signal() => asked.cancel(),
            () = over.cancelled() => {}
        }
    });
    tasks.close();
    tracing::info!(name = %cfg.name, packets = %cfg.packets, "balancer started");
    let seed = clock.now().as_micros();
    let mut driver = Driver {
        border,
        clock,
        socket,
        steering: Steering::new(cfg.steering, seed),
        ready,
        pauses,
        knowledge,
        snapshots,
        metrics,
        leave,
        stop_within: cfg.stop_within,
        log: DecisionLog::default(),
        counters: DriverCounters::default(),
    };
    driver.run().await;
    drop(driver);
    stop.cancel();
    tasks.wait().await;
    tracing::info!(name = %cfg.name, "balancer stopped");
    Ok(())
}
