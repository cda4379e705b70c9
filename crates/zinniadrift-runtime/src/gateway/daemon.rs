use std::sync::Arc;
use std::time::Duration;

use axum::Router;
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

use super::driver::{Driver, Inputs, Outlets};
use super::front::{Front, serve};
use crate::daemon::{BindSnafu, DaemonError, DaemonSettings, Role, RunClock};
use crate::distribution::{DistributionParts, run_distribution};
use crate::peer::{PeerLink, PeerService, serve_peers};
use crate::status::{DaemonStatus, watch_statuses};
use crate::targets::poll_targets;
use crate::timeline::{Clock, Recorder};

const SMALL_QUEUE: usize = 16;
/// Requests that wait for the driver's next turn.
const CALL_QUEUE: usize = 1_024;
const CLAIM_QUEUE: usize = 256;
const REPORT_QUEUE: usize = 256;
/// The time for which answers may still be written to slow callers after the last one is known.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves requests until the process is asked to stop.
///
/// # Errors
///
/// Fails if a socket cannot be opened.
pub async fn run_gateway(cfg: DaemonSettings) -> Result<(), DaemonError> {
    let clock = RunClock::start();
    let listener = bind(cfg.listen).await?;
    let peer_listener = bind(cfg.peer).await?;
    let peers = UdpSocket::bind(cfg.peer).await.context(BindSnafu {
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
    let link = PeerLink::new(peers, &cfg.user, member, clock.incarnation(), None, hybrid);

    let (distribution, distribution_rx) = mpsc::channel(SMALL_QUEUE);
    let (outputs_tx, outputs) = mpsc::channel(SMALL_QUEUE);
    let (statuses_tx, statuses) = mpsc::channel(SMALL_QUEUE);
    let (reports_tx, reports) = mpsc::channel(REPORT_QUEUE);
    let (calls_tx, calls) = mpsc::channel(CALL_QUEUE);
    let (claims_tx, claims) = mpsc::channel(CLAIM_QUEUE);
    let (cancels_tx, cancels) = mpsc::unbounded_channel();
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
        store.clone(),
        cfg.user.clone(),
        statuses_tx,
        stop.clone(),
    ));
    tasks.spawn(poll_targets(catalog_rx.clone(), reports_tx, stop.clone()));
    let service = PeerService {
        group: cfg.user.clone(),
        document: document_rx,
        claims: Some(claims_tx),
    };
    tasks.spawn(serve_peers(peer_listener, service, stop.clone()));
    let front = Arc::new(Front::new(clock, catalog_rx, calls_tx, cancels_tx));
    tasks.spawn(serve_callers(listener, front, stop.clone()));
    tasks.close();

    tracing::info!(name = %cfg.name, listen = %cfg.listen, "gateway started");
    recorder.record("start", format!("run {}", clock.incarnation()));
    let name = cfg.name.clone();
    let outlets = Outlets {
        distribution,
        catalog,
        status,
    };
    let inputs = Inputs {
        calls,
        cancels,
        claims,
        outputs,
        statuses,
        reports,
    };
    let mut driver = Driver::new(cfg, clock, store, link, recorder.clone(), outlets);
    driver.run(inputs).await;
    recorder.record("stop", "stopped");
    stop.cancel();
    stop_recorder.cancel();
    drop(driver);
    tasks.wait().await;
    tracing::info!(%name, "gateway stopped");
    Ok(())
}

/// Serves callers until `stop` is cancelled and answers in progress are written.
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
                tracing::error!(error = %e, "caller service failed");
            }
        }
        () = limit => tracing::debug!("callers did not close their connections in time"),
    }
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.context(BindSnafu {
        address: address.to_string(),
    })
}

fn first_status(cfg: &DaemonSettings, clock: RunClock) -> DaemonStatus {
    DaemonStatus {
        name: cfg.name.clone(),
        role: Role::Gateway,
        zone: cfg.zone.clone(),
        incarnation: clock.incarnation(),
        address: cfg.peer,
        state: "starting".into(),
        version: Version::default(),
    }
}
