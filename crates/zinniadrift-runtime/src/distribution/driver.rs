use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::distribution::{
    Distribution, DistributionAction, DistributionEvent, DistributionSettings, PlatformFailure,
};
use zinniadrift_core::ids::MemberId;
use zinniadrift_core::units::Version;
use zinniadrift_store::{HttpStore, Object, ObjectStore, Precondition};

use super::{DistributionInput, DistributionOutput};
use crate::daemon::{DaemonSettings, RunClock};
use crate::peer::pull_document;
use crate::status::DaemonStatus;

/// The time between two attempts to obtain a first version from the seeds.
const SEED_INTERVAL: Duration = Duration::from_secs(1);
/// The delay of a status write after a change, so that changes that follow each other share it.
const STATUS_DELAY: Duration = Duration::from_millis(200);

/// Holds what a distribution is connected to.
pub(crate) struct DistributionContext {
    /// The daemon's settings.
    pub(crate) cfg: DaemonSettings,
    /// The daemon's clock.
    pub(crate) clock: RunClock,
    /// The platform.
    pub(crate) store: HttpStore,
    /// What the daemon learned from peers.
    pub(crate) rx: mpsc::Receiver<DistributionInput>,
    /// What the daemon must do.
    pub(crate) tx: mpsc::Sender<DistributionOutput>,
    /// The document in force, for peers.
    pub(crate) document: watch::Sender<(Version, Bytes)>,
    /// The daemon's status, written whenever it changes.
    pub(crate) status: watch::Receiver<DaemonStatus>,
}

/// Obtains settings until `stop` is cancelled; the last status is written before it returns.
pub(crate) async fn run_distribution(parts: DistributionContext, stop: CancellationToken) {
    let cfg = &parts.cfg;
    let core = Distribution::new(DistributionSettings {
        member: MemberId::from_name(&cfg.name),
        zone: cfg.zone.clone(),
        seed: parts.clock.incarnation().into(),
        expects_peers: !cfg.seeds.is_empty(),
        ..DistributionSettings::default()
    });
    let mut driver = Driver {
        core,
        calls: FuturesUnordered::new(),
        watch: Box::pin(pending()),
        addresses: HashMap::new(),
        next_seed: 0,
        parts,
    };
    driver.run(stop).await;
}

struct Driver {
    core: Distribution,
    parts: DistributionContext,
    calls: FuturesUnordered<BoxFuture<'static, DistributionEvent>>,
    watch: BoxFuture<'static, DistributionEvent>,
    addresses: HashMap<MemberId, SocketAddr>,
    next_seed: usize,
}

impl Driver {
    async fn run(&mut self, stop: CancellationToken) {
        let mut seeds = interval(SEED_INTERVAL);
        seeds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut event = DistributionEvent::Tick;
        loop {
            if self.handle(event).await.is_err() {
                break;
            }
            event = tokio::select! {
                () = stop.cancelled() => break,
                e = self.next_event() => e,
                _ = seeds.tick() => {
                    self.pull_from_seed();
                    DistributionEvent::Tick
                }
            };
        }
        // The last status says how the daemon ended.
        let last = self.status_call(Duration::ZERO);
        let _ = last.await;
    }

    async fn next_event(&mut self) -> DistributionEvent {
        let deadline = self.core.next_deadline();
        let clock = self.parts.clock;
        let timer = async {
            match deadline {
                Some(t) => sleep_until(clock.instant(t)).await,
                None => pending().await,
            }
        };
        tokio::select! {
            Some(input) = self.parts.rx.recv() => match input {
                DistributionInput::PeerVersion { from, address, version } => {
                    self.addresses.extend(address.map(|a| (from, a)));
                    DistributionEvent::PeerVersion { from, version }
                }
                DistributionInput::Members(members) => {
                    let addresses = members.iter().map(|m| (m.member.id, m.address));
                    self.addresses.extend(addresses);
                    DistributionEvent::Members(members.into_iter().map(|m| m.member).collect())
                }
            },
            e = &mut self.watch => {
                self.watch = Box::pin(pending());
                e
            }
            Some(e) = self.calls.next() => e,
            Ok(()) = self.parts.status.changed() => {
                self.calls.push(self.status_call(STATUS_DELAY));
                DistributionEvent::Tick
            }
            () = timer => DistributionEvent::Tick,
        }
    }

    async fn handle(&mut self, event: DistributionEvent) -> Result<(), ()> {
        let mut out = Vec::new();
        self.core.handle(self.parts.clock.now(), event, &mut out);
        for action in out {
            self.execute(action).await?;
        }
        Ok(())
    }

    /// Fails when the daemon no longer listens.
    async fn execute(&mut self, action: DistributionAction) -> Result<(), ()> {
        match action {
            DistributionAction::WatchPlatform { after, wait } => {
                self.watch = Box::pin(watch_call(
                    self.parts.store.clone(),
                    format!("settings/{}", self.parts.cfg.user),
                    after,
                    wait,
                ));
            }
            DistributionAction::StopWatch => self.watch = Box::pin(pending()),
            DistributionAction::PullFrom { peer } => self.pull(peer),
            DistributionAction::Install(catalog) => {
                let document = self.core.document().cloned().unwrap_or_default();
                self.parts
                    .document
                    .send_replace((catalog.version, document));
                let output = DistributionOutput::Install(catalog);
                self.parts.tx.send(output).await.map_err(drop)?;
            }
            DistributionAction::Notify { version } => {
                let output = DistributionOutput::Notify(version);
                self.parts.tx.send(output).await.map_err(drop)?;
            }
            // The daemon's status changes when it puts the version in force, shortly afterwards.
            DistributionAction::WriteStatus => self.calls.push(self.status_call(STATUS_DELAY)),
        }
        Ok(())
    }

    fn pull(&self, peer: MemberId) {
        let Some(address) = self.addresses.get(&peer).copied() else {
            self.calls.push(Box::pin(async move {
                DistributionEvent::PeerDocument {
                    from: peer,
                    document: None,
                }
            }));
            return;
        };
        let group = self.parts.cfg.user.clone();
        let above = self.core.version();
        self.calls.push(Box::pin(async move {
            DistributionEvent::PeerDocument {
                from: peer,
                document: pull_document(address, group, above).await,
            }
        }));
    }

    /// Asks one seed for a first version; the platform may be down.
    fn pull_from_seed(&mut self) {
        let seeds = &self.parts.cfg.seeds;
        if seeds.is_empty() || self.core.version() != Version::default() {
            return;
        }
        let seed = &seeds[self.next_seed % seeds.len()];
        self.next_seed += 1;
        if seed.name != self.parts.cfg.name {
            self.addresses.entry(seed.member()).or_insert(seed.address);
            self.pull(seed.member());
        }
    }

    fn status_call(&self, delay: Duration) -> BoxFuture<'static, DistributionEvent> {
        let store = self.parts.store.clone();
        let status = self.parts.status.clone();
        let key = self.status_key();
        Box::pin(async move {
            sleep(delay).await;
            let value = serde_json::to_value(&*status.borrow()).unwrap_or_default();
            let written = store.put(&key, value, Precondition::None).await;
            DistributionEvent::StatusWritten {
                ok: written.is_ok(),
            }
        })
    }

    fn status_key(&self) -> String {
        format!("status/{}/{}", self.parts.cfg.user, self.parts.cfg.name)
    }
}

async fn watch_call(
    store: HttpStore,
    key: String,
    after: u64,
    wait: Duration,
) -> DistributionEvent {
    match store.watch(&key, after, wait).await {
        Ok(objects) => {
            let object = objects.into_iter().find(|o| *o.key == *key);
            DistributionEvent::PlatformAnswer {
                revision: object.as_ref().map_or(0, |o| o.revision),
                document: Ok(object.as_ref().map(document_of)),
            }
        }
        Err(e) => {
            tracing::debug!(error = %e, "settings watch failed");
            DistributionEvent::PlatformAnswer {
                revision: 0,
                document: Err(PlatformFailure),
            }
        }
    }
}

fn document_of(object: &Object) -> Bytes {
    object.value.to_string().into()
}
