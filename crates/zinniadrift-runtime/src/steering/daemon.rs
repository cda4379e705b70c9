use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use snafu::ResultExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xxhash_rust::xxh3::xxh3_64;

use zinniadrift_core::steering::{FanOut, Steering, StoreNeed};

use super::decision_log::DecisionLog;
use super::driver::Driver;
use super::driver_counters::DriverCounters;
use super::edge_metrics::EdgeHistograms;
use super::feed_task::FeedTask;
use super::front::{serve_metrics, serve_peers, serve_readiness};
use super::held_datagrams::HeldDatagrams;
use super::input::StateMark;
use super::peer_service::PeerService;
use super::peer_task::PeerTask;
use super::reload::ReloadTask;
use super::{Border, EdgeConfig, EdgeSettings, Feed};
use crate::daemon::{BindSnafu, DaemonError, RunClock};

/// The queue between tasks and the driver; the driver takes inputs faster than they arrive.
const QUEUE: usize = 64;

/// Forwards packets until the process is asked to stop; `load` reads the settings.
///
/// # Errors
///
/// Fails if the settings cannot be read or a socket cannot be opened.
pub async fn run_edge<B, F>(load: F) -> Result<(), DaemonError>
where
    B: Border,
    F: Fn() -> Result<EdgeConfig<B>, DaemonError> + Send + Sync + 'static,
{
    // A signal before its handler exists would end the process.
    let listen_for = |kind| {
        signal(kind).context(BindSnafu {
            address: "a signal handler",
        })
    };
    let hangup = listen_for(SignalKind::hangup())?;
    let terminate = listen_for(SignalKind::terminate())?;
    let clock = RunClock::start();
    let EdgeConfig { border, settings } = load()?;
    let cfg = &settings;
    let sockets = Sockets::open(cfg).await?;
    let tasks = TaskTracker::new();
    let (stop, leave) = (CancellationToken::new(), CancellationToken::new());
    let (border_tx, border) = watch::channel(Arc::new(border));
    let (relays_tx, relays) = watch::channel(cfg.seeds.clone());
    let (inputs_tx, inputs) = mpsc::channel(QUEUE);
    let (mark, mark_rx) = watch::channel(StateMark::default());
    let (need_tx, need) = watch::channel(StoreNeed::default());
    let (ready, ready_rx) = watch::channel(false);

    let histograms = EdgeHistograms::new();
    let store_failed = Arc::new(Notify::new());
    let fan_out = Arc::new(Mutex::new(FanOut::new(FanOut::DEFAULT_CAPACITY)));
    for feed in [Feed::Targets, Feed::Routes] {
        let task = FeedTask {
            border: border.clone(),
            feed,
            cfg: cfg.watch.clone(),
            clock,
            inputs: inputs_tx.clone(),
            mark: mark_rx.clone(),
            need: need.clone(),
            failed: Arc::clone(&store_failed),
            histograms: histograms.clone(),
            stop: stop.clone(),
        };
        tasks.spawn(task.run());
    }
    let peers = PeerTask {
        relays,
        own: cfg.peer,
        zone: cfg.steering.zone.clone(),
        spread: xxh3_64(cfg.name.as_bytes()) as usize,
        usual_age: cfg.watch.expected_max_age(),
        mark: mark_rx.clone(),
        inputs: inputs_tx.clone(),
        store_failed,
        need: need_tx,
        stop: stop.clone(),
    };
    tasks.spawn(peers.run());
    tasks.spawn(serve_readiness(sockets.readiness, ready_rx, stop.clone()));
    if let Some(listener) = sockets.peer {
        let service = PeerService {
            mark: mark_rx,
            inputs: inputs_tx.clone(),
            clock,
            fan_out: Arc::clone(&fan_out),
        };
        tasks.spawn(serve_peers(listener, service, stop.clone()));
    }
    if let Some(listener) = sockets.metrics {
        tasks.spawn(serve_metrics(listener, inputs_tx.clone(), stop.clone()));
    }
    tasks.spawn(cancel_on_signal(terminate, leave.clone(), stop.clone()));
    let reload = ReloadTask {
        load,
        border: border_tx,
        relays: relays_tx,
        inputs: inputs_tx,
        settings: settings.clone(),
        hangup,
        stop: stop.clone(),
    };
    tasks.spawn(reload.run());
    tasks.close();
    tracing::info!(
        name = %cfg.name,
        packets = %cfg.packets,
        seeds = ?cfg.seeds,
        "balancer started"
    );
    let mut driver = Driver {
        border,
        clock,
        socket: sockets.packets,
        steering: Steering::new(cfg.steering.clone(), clock.now().as_micros()),
        ready,
        mark,
        inputs,
        held: HeldDatagrams::default(),
        fan_out,
        leave,
        stop_within: cfg.stop_within,
        log: DecisionLog::default(),
        counters: DriverCounters::default(),
        histograms,
        probes: JoinSet::new(),
    };
    driver.run().await;
    driver.probes.shutdown().await;
    drop(driver);
    stop.cancel();
    tasks.wait().await;
    tracing::info!(name = %settings.name, "balancer stopped");
    Ok(())
}

async fn cancel_on_signal(
    mut terminate: Signal,
    leave: CancellationToken,
    stop: CancellationToken,
) {
    tokio::select! {
        _ = terminate.recv() => leave.cancel(),
        () = stop.cancelled() => {}
    }
}

/// Holds the sockets of a balancer; the packet socket opens first, so that no packet is refused.
struct Sockets {
    packets: UdpSocket,
    readiness: TcpListener,
    peer: Option<TcpListener>,
    metrics: Option<TcpListener>,
}

impl Sockets {
    async fn open(cfg: &EdgeSettings) -> Result<Self, DaemonError> {
        let packets = UdpSocket::bind(cfg.packets).await;
        let packets = packets.context(BindSnafu {
            address: cfg.packets.to_string(),
        })?;
        Ok(Self {
            packets,
            readiness: open_listener(cfg.readiness).await?,
            peer: open_optional(cfg.peer).await?,
            metrics: open_optional(cfg.metrics).await?,
        })
    }
}

async fn open_optional(address: Option<SocketAddr>) -> Result<Option<TcpListener>, DaemonError> {
    match address {
        Some(address) => open_listener(address).await.map(Some),
        None => Ok(None),
    }
}

async fn open_listener(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.context(BindSnafu {
        address: address.to_string(),
    })
}
