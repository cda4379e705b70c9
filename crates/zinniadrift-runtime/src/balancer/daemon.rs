use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use serde_json::json;
use snafu::ResultExt;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use zinniadrift_core::balancer::{Balancer, BalancerEvent, BalancerSettings, Verdict};
use zinniadrift_core::flow::FlowPacket;
use zinniadrift_core::ids::{MemberId, PacketToken, TargetId};
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;
use zinniadrift_platform::{HttpStore, ObjectStore, Precondition};

use crate::daemon::{DaemonError, DaemonSettings, shutdown_signal, watch_settings};
use crate::geneve::{Frame, MAX_DATAGRAM_BYTES};

const SETTINGS_QUEUE: usize = 4;

/// Forwards packets until the process is asked to stop.
///
/// # Errors
///
/// Fails if a socket cannot be opened.
pub async fn run_balancer(cfg: DaemonSettings) -> Result<(), DaemonError> {
    let socket = UdpSocket::bind(cfg.listen)
        .await
        .context(crate::daemon::BindSnafu {
            address: cfg.listen.to_string(),
        })?;
    let stop = CancellationToken::new();
    let tasks = TaskTracker::new();
    let (tx, mut rx) = mpsc::channel(SETTINGS_QUEUE);
    let store = HttpStore::new(cfg.platform);
    tasks.spawn(watch_settings(
        store.clone(),
        cfg.user.clone(),
        tx,
        stop.clone(),
    ));
    tasks.close();

    let mut driver = Driver::new(&cfg, socket);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    tracing::info!(name = %cfg.name, listen = %cfg.listen, "balancer started");
    let stopped = shutdown_signal();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => break,
            Some(catalog) = rx.recv() => {
                driver.install(catalog);
                driver.report_status(&store, &cfg).await;
            }
            Ok((len, _)) = driver.socket.recv_from(&mut buf) => {
                driver.forward(Bytes::copy_from_slice(&buf[..len])).await;
            }
        }
    }
    stop.cancel();
    tasks.wait().await;
    tracing::info!(name = %cfg.name, "balancer stopped");
    Ok(())
}

struct Driver {
    core: Balancer,
    socket: UdpSocket,
    origin: Instant,
    addresses: HashMap<TargetId, SocketAddr>,
    malformed: u64,
    dropped: u64,
}

impl Driver {
    fn new(cfg: &DaemonSettings, socket: UdpSocket) -> Self {
        let core = Balancer::new(BalancerSettings {
            member: MemberId::from_name(&cfg.name),
            name: cfg.name.clone(),
            zone: cfg.zone.clone(),
            ..BalancerSettings::default()
        });
        let origin = Instant::now();
        Self {
            core,
            socket,
            origin,
            addresses: HashMap::new(),
            malformed: 0,
            dropped: 0,
        }
    }

    fn now(&self) -> MonoTime {
        MonoTime::default() + self.origin.elapsed()
    }

    fn install(&mut self, catalog: Arc<ServiceCatalog>) {
        let now = self.now();
        let targets = catalog.services.iter().flat_map(|s| &s.targets);
        self.addresses = targets.map(|t| (t.id, t.address)).collect();
        self.core
            .handle(now, BalancerEvent::Settings(catalog), &mut Vec::new());
        tracing::info!(version = %self.core.version(), "settings in force");
    }

    async fn forward(&mut self, datagram: Bytes) {
        let Ok(frame) = Frame::decode(&datagram) else {
            self.malformed += 1;
            return;
        };
        let pkt = FlowPacket {
            flow: frame.flow,
            kind: frame.kind,
            relayed: frame.relayed,
            token: PacketToken::default(),
        };
        let verdict = self.core.on_packet(self.now(), &pkt, &mut Vec::new());
        let address = match verdict {
            Verdict::Forward(target) => self.addresses.get(&target).copied(),
            _ => None,
        };
        let Some(address) = address else {
            self.dropped += 1;
            return;
        };
        if self
            .socket
            .send_to(&Frame::encode(&frame.packet, false), address)
            .await
            .is_err()
        {
            self.dropped += 1;
        }
    }

    async fn report_status(&self, store: &HttpStore, cfg: &DaemonSettings) {
        let value = json!({
            "name": cfg.name,
            "zone": cfg.zone,
            "role": "balancer",
            "version": self.core.version(),
        });
        let key = format!("status/{}/{}", cfg.user, cfg.name);
        if let Err(e) = store.put(&key, value, Precondition::None).await {
            tracing::debug!(error = %e, "status not written");
        }
    }
}
