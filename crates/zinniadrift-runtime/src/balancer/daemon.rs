use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use snafu::ResultExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use zinniadrift_core::ids::MemberId;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::Version;
use zinniadrift_platform::HttpStore;

use super::driver::{Driver, Inputs};
use crate::daemon::{BindSnafu, DaemonError, DaemonSettings, Role, RunClock};
use crate::distribution::{DistributionParts, run_distribution};
use crate::peer::{PeerLink, PeerService, serve_peers};
use crate::status::{DaemonStatus, watch_statuses};
use crate::targets::poll_targets;
use crate::timeline::{Clock, Recorder};

const SMALL_QUEUE: usize = 16;
/// Reports of all targets of a user fit, so that a poll never waits for the driver.
const REPORT_QUEUE: usize = 256;

/// Forwards packets until the process is asked to stop.
///
/// # Errors
///
/// Fails if a socket cannot be opened.
pub async fn run_balancer(cfg: DaemonSettings) -> Result<(), DaemonError> {
    let clock = RunClock::start();
    let packets = bind_udp(cfg.listen).await?;
    let peers = bind_udp(cfg.peer).await?;
    let calls = TcpListener::bind(cfg.peer).await.context(BindSnafu {
        address: cfg.peer.to_string(),
    })?;
    let stop = CancellationToken::new();
    let tasks = TaskTracker::new();
    let member = MemberId::from_name(&cfg.name);
    let hybrid = Arc::new(Clock::new(member.get(), clock.incarnation().into()));
    // The recorder stops last, so that the time line shows how the daemon ended.
    let stop_recorder = CancellationToken::new();
    let recorder = Recorder::start(
        hybrid.clone(),
        &cfg.name,
        &cfg.zone,
        clock.incarnation().into(),
        cfg.timeline,
        &tasks,
        stop_recorder.clone(),
    );
    let relay = match cfg.listen {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    };
    let link = PeerLink::new(peers, &cfg.user, member, clock.incarnation(), relay, hybrid);

    let (distribution, distribution_rx) = mpsc::channel(SMALL_QUEUE);
    let (outputs_tx, outputs) = mpsc::channel(SMALL_QUEUE);
    let (statuses_tx, statuses) = mpsc::channel(SMALL_QUEUE);
    let (reports_tx, reports) = mpsc::channel(REPORT_QUEUE);
    let (document, document_rx) = watch::channel((Version::default(), Bytes::new()));
    let (catalog, catalog_rx) = watch::channel(Arc::<ServiceCatalog>::default());
    let (status, status_rx) = watch::channel(first_status(&cfg, clock));
    let store = HttpStore::new(cfg.platform);
    tasks.spawn(run_distribution(
        DistributionParts {
            cfg: cfg.clone(),
            clock,
            store: store.clone(),
            rx: distribution_rx,
            tx: outputs_tx,
            document,
            status: status_rx,
        },
        stop.clone(),
    ));
    tasks.spawn(watch_statuses(
        store,
        cfg.user.clone(),
        statuses_tx,
        stop.clone(),
    ));
    tasks.spawn(poll_targets(catalog_rx, reports_tx, stop.clone()));
    let service = PeerService {
        group: cfg.user.clone(),
        document: document_rx,
        claims: None,
    };
    tasks.spawn(serve_peers(calls, service, stop.clone()));
    tasks.close();

    tracing::info!(name = %cfg.name, listen = %cfg.listen, "balancer started");
    recorder.record("start", format!("run {}", clock.incarnation()));
    let inputs = Inputs {
        outputs,
        statuses,
        reports,
    };
    let mut driver = Driver::new(&cfg, clock, packets, link, recorder.clone());
    driver.connect(distribution, catalog, status);
    driver.run(inputs).await;
    recorder.record("stop", "stopped");
    stop.cancel();
    stop_recorder.cancel();
    drop(driver);
    tasks.wait().await;
    tracing::info!(name = %cfg.name, "balancer stopped");
    Ok(())
}

async fn bind_udp(address: SocketAddr) -> Result<UdpSocket, DaemonError> {
    UdpSocket::bind(address).await.context(BindSnafu {
        address: address.to_string(),
    })
}

fn first_status(cfg: &DaemonSettings, clock: RunClock) -> DaemonStatus {
    DaemonStatus {
        name: cfg.name.clone(),
        role: Role::Balancer,
        zone: cfg.zone.clone(),
        incarnation: clock.incarnation(),
        address: cfg.peer,
        state: "starting".into(),
        version: Version::default(),
    }
}
