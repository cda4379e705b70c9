use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use snafu::ResultExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xxhash_rust::xxh3::xxh3_64;

use zinniadrift_core::steering::{FanOut, ReporterId, Steering, StoreNeed};

use super::decision_log::DecisionLog;
use super::driver::Driver;
use super::driver_counters::DriverCounters;
use super::edge_metrics::EdgeHistograms;
use super::feed_task::FeedTask;
use super::held_datagrams::HeldDatagrams;
use super::http_server::{serve_metrics, serve_peers, serve_readiness};
use super::input::DriverState;
use super::observation_task::ObservationTask;
use super::peer_service::PeerService;
use super::peer_task::PeerTask;
use super::reload::ReloadTask;
use super::store_health::StoreHealth;
use super::supervisor::supervise;
use super::waiting_packets::WaitingPackets;
use super::{EdgeConfig, EdgeSettings, Feed, PlatformAdapter};
use crate::daemon::{BindSnafu, DaemonError, RunClock};

/// The capacity of the queue from the tasks to the driver, which processes inputs faster than they
/// arrive.
const INPUT_QUEUE_CAPACITY: usize = 64;

/// Runs an edge balancer until the process receives SIGTERM; `load` reads the settings file, again
/// on SIGHUP and periodically.
///
/// # Errors
///
/// Fails if the settings cannot be read, or a socket or a signal handler cannot be set up.
pub async fn run_edge<A, F>(load: F) -> Result<(), DaemonError>
where
    A: PlatformAdapter,
    F: Fn() -> Result<EdgeConfig<A>, DaemonError> + Send + Sync + 'static,
{
    // A signal that arrives before its handler is installed would terminate the process.
    let listen_for = |kind| {
        signal(kind).context(BindSnafu {
            address: "a signal handler",
        })
    };
    let hangup = listen_for(SignalKind::hangup())?;
    let terminate = listen_for(SignalKind::terminate())?;
    let clock = RunClock::start();
    let EdgeConfig { adapter, settings } = load()?;
    let cfg = &settings;
    let sockets = Sockets::open(cfg).await?;
    let tasks = TaskTracker::new();
    let (stop, leave) = (CancellationToken::new(), CancellationToken::new());
    let (adapter_tx, adapter) = watch::channel(Arc::new(adapter));
    let (relays_tx, relays) = watch::channel(cfg.seeds.clone());
    let (inputs_tx, inputs) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let (state, state_rx) = watch::channel(DriverState::default());
    // The task that asks peers decides when the store is needed.
    let (need_tx, need) = watch::channel(StoreNeed::None);
    let (zones_need_tx, zones_need) = watch::channel(StoreNeed::None);
    let (health, _) = watch::channel(StoreHealth::default());
    let (ready, ready_rx) = watch::channel(false);
    let (peer_tx, peer) = watch::channel(None);

    let histograms = EdgeHistograms::new();
    let fan_out = Arc::new(Mutex::new(FanOut::new(FanOut::capacity_for(cfg.link))));
    let zone_drains = cfg.steering.zone_drains.enabled;
    let zones = zone_drains.then_some((Feed::ZoneDrains, zones_need, &cfg.zone_watch));
    let feeds = [
        (Feed::Targets, need.clone(), &cfg.watch),
        (Feed::Routes, need, &cfg.watch),
    ];
    for (feed, need, watch) in feeds.into_iter().chain(zones) {
        let task = FeedTask {
            adapter: adapter.clone(),
            feed,
            cfg: watch.clone(),
            clock,
            inputs: inputs_tx.clone(),
            state: state_rx.clone(),
            need,
            health: health.clone(),
            histograms: histograms.clone(),
            stop: stop.clone(),
        };
        let run = move || task.clone().run();
        tasks.spawn(supervise("feed", stop.clone(), run));
    }
    let observations = ObservationTask {
        relays: relays.clone(),
        own_address: cfg.peer,
        peer,
        state: state_rx.clone(),
        inputs: inputs_tx.clone(),
        stop: stop.clone(),
    };
    let run = move || observations.clone().run();
    tasks.spawn(supervise("observations", stop.clone(), run));
    let peers = PeerTask {
        relays,
        clock,
        own_address: cfg.peer,
        zone: cfg.steering.zone.clone(),
        relay_offset: xxh3_64(cfg.name.as_bytes()) as usize,
        expected_max_age: cfg.watch.expected_max_age(),
        state: state_rx.clone(),
        inputs: inputs_tx.clone(),
        need: need_tx,
        zones_need: zones_need_tx,
        peer: peer_tx,
        stop: stop.clone(),
    };
    let run = move || peers.clone().run();
    tasks.spawn(supervise("peers", stop.clone(), run));
    tasks.spawn(serve_readiness(sockets.readiness, ready_rx, stop.clone()));
    if let Some(listener) = sockets.peer {
        let service = PeerService {
            state: state_rx,
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
        adapter: adapter_tx,
        relays: relays_tx,
        inputs: inputs_tx,
        settings: settings.clone(),
        reads_zone_drains: zone_drains,
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
    let mut steering = Steering::new(cfg.steering.clone(), clock.now().as_micros());
    steering.set_reporter(reporter_id(&cfg.name));
    let mut driver = Driver {
        adapter,
        clock,
        socket: sockets.packets,
        steering,
        ready,
        state,
        inputs,
        held: HeldDatagrams::default(),
        waiting: WaitingPackets::default(),
        fan_out,
        leave,
        stop_within: cfg.stop_within,
        log: DecisionLog::default(),
        counters: DriverCounters::default(),
        histograms,
        probes: JoinSet::new(),
    };
    let position = settings.relay_position();
    driver.steering.set_relay_position(clock.now(), position);
    driver.run().await;
    driver.probes.shutdown().await;
    drop(driver);
    stop.cancel();
    tasks.wait().await;
    tracing::info!(name = %settings.name, "balancer stopped");
    Ok(())
}

/// Returns a number for this process that no other process has, nor an earlier one of the same name.
fn reporter_id(name: &str) -> ReporterId {
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = started.unwrap_or_default().as_nanos();
    let process = std::process::id();
    ReporterId::from_bytes(format!("{name} {process} {started}").as_bytes())
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

/// The sockets of a balancer.
///
/// The packet socket is opened before the readiness endpoint, so that no packet arrives at a closed
/// port.
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
