use std::net::SocketAddrV4;
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
use zinniadrift_store::HttpStore;

use super::daemon_error::BindSnafu;
use super::{DaemonError, DaemonSettings, Role, RunClock};
use crate::distribution::{
    DistributionContext, DistributionInput, DistributionOutput, run_distribution,
};
use crate::peer::{ClaimCall, PeerLink, PeerService, serve_peers};
use crate::status::{DaemonStatus, poll_statuses};
use crate::targets::{PollResult, poll_targets};
use crate::timeline::{HybridClock, Recorder};

const QUEUE_CAPACITY: usize = 16;
/// The capacity of the queue of target reports: the reports of all targets of a user fit, so that
/// polls never wait for the driver.
const TARGET_QUEUE_CAPACITY: usize = 256;

/// The tasks that balancers and gateways have in common, and the resources that they share with the
/// driver.
pub(crate) struct SharedTasks {
    pub(crate) cfg: DaemonSettings,
    pub(crate) clock: RunClock,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
    pub(crate) recorder: Recorder,
    pub(crate) store: HttpStore,
    pub(crate) catalog_rx: watch::Receiver<Arc<ServiceCatalog>>,
    /// Cancelled after `stop`, so that the end of the daemon is still recorded on the time line.
    stop_recorder: CancellationToken,
}

/// The channels from the shared tasks to a daemon's driver.
pub(crate) struct SharedInputs {
    pub(crate) distribution: mpsc::Receiver<DistributionOutput>,
    pub(crate) statuses: mpsc::Receiver<Vec<DaemonStatus>>,
    pub(crate) reports: mpsc::Receiver<PollResult>,
}

/// The channels from a daemon's driver to the shared tasks.
pub(crate) struct SharedOutputs {
    pub(crate) distribution: mpsc::Sender<DistributionInput>,
    pub(crate) catalog: watch::Sender<Arc<ServiceCatalog>>,
    pub(crate) status: watch::Sender<DaemonStatus>,
}

impl SharedTasks {
    /// Opens the peer sockets and starts the tasks.
    ///
    /// `relay` is the address for relayed packets, and `claims` receives the claims of other
    /// gateways.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be opened.
    pub(crate) async fn start(
        cfg: DaemonSettings,
        role: Role,
        relay: Option<SocketAddrV4>,
        claims: Option<mpsc::Sender<ClaimCall>>,
    ) -> Result<(Self, PeerLink, SharedInputs, SharedOutputs), DaemonError> {
        let clock = RunClock::start();
        let address = || BindSnafu {
            address: cfg.peer.to_string(),
        };
        let calls = TcpListener::bind(cfg.peer).await.context(address())?;
        let peers = UdpSocket::bind(cfg.peer).await.context(address())?;
        let (stop, stop_recorder) = (CancellationToken::new(), CancellationToken::new());
        let tasks = TaskTracker::new();
        let member = MemberId::from_name(&cfg.name);
        let incarnation = clock.incarnation();
        let hybrid_clock = Arc::new(HybridClock::new(member.get(), incarnation.into()));
        let recorder = Recorder::start(
            hybrid_clock.clone(),
            &cfg.name,
            &cfg.zone,
            incarnation.into(),
            cfg.timeline,
            &tasks,
            stop_recorder.clone(),
        );
        let link = PeerLink::new(peers, &cfg.user, member, incarnation, relay, hybrid_clock);

        let (distribution_tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let (tx, distribution_rx) = mpsc::channel(QUEUE_CAPACITY);
        let (statuses_tx, statuses) = mpsc::channel(QUEUE_CAPACITY);
        let (reports_tx, reports) = mpsc::channel(TARGET_QUEUE_CAPACITY);
        let (document, document_rx) = watch::channel((Version::default(), Bytes::new()));
        let (catalog, catalog_rx) = watch::channel(Arc::<ServiceCatalog>::default());
        let (status, status_rx) = watch::channel(initial_status(&cfg, role, clock));
        let store = HttpStore::new(cfg.platform);
        let context = DistributionContext {
            cfg: cfg.clone(),
            clock,
            store: store.clone(),
            rx,
            tx,
            document,
            status: status_rx,
        };
        tasks.spawn(run_distribution(context, stop.clone()));
        let user = cfg.user.clone();
        tasks.spawn(poll_statuses(
            store.clone(),
            user.clone(),
            statuses_tx,
            stop.clone(),
        ));
        tasks.spawn(poll_targets(catalog_rx.clone(), reports_tx, stop.clone()));
        let service = PeerService {
            group: user,
            document: document_rx,
            claims,
        };
        tasks.spawn(serve_peers(calls, service, stop.clone()));
        let shared = Self {
            cfg,
            clock,
            tasks,
            stop,
            recorder,
            store,
            catalog_rx,
            stop_recorder,
        };
        let inputs = SharedInputs {
            distribution: distribution_rx,
            statuses,
            reports,
        };
        let outputs = SharedOutputs {
            distribution: distribution_tx,
            catalog,
            status,
        };
        Ok((shared, link, inputs, outputs))
    }

    /// Records the start of the daemon; no task may be spawned after this.
    pub(crate) fn record_start(&self, role: Role) {
        self.tasks.close();
        tracing::info!(name = %self.cfg.name, listen = %self.cfg.listen, "{role} started");
        let run = format!("run {}", self.clock.incarnation());
        self.recorder.record("start", run);
    }

    /// Records the end of the daemon, stops all tasks and waits for them to end.
    pub(crate) async fn finish(self, role: Role) {
        self.recorder.record("stop", "stopped");
        self.stop.cancel();
        self.stop_recorder.cancel();
        drop(self.recorder);
        self.tasks.wait().await;
        tracing::info!(name = %self.cfg.name, "{role} stopped");
    }
}

fn initial_status(cfg: &DaemonSettings, role: Role, clock: RunClock) -> DaemonStatus {
    DaemonStatus {
        name: cfg.name.clone(),
        role,
        zone: cfg.zone.clone(),
        incarnation: clock.incarnation(),
        address: cfg.peer,
        state: "starting".into(),
        version: Version::default(),
    }
}
