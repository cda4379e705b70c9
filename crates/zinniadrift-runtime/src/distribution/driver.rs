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

/// The interval between attempts to pull a first version from a seed.
const SEED_PULL_INTERVAL: Duration = Duration::from_secs(1);
/// The delay of a status write after a change, so that changes in quick succession share a write.
const STATUS_WRITE_DELAY: Duration = Duration::from_millis(200);

/// The settings, clients and channels of a distribution.
pub(crate) struct DistributionContext {
    /// The daemon's settings.
    pub(crate) cfg: DaemonSettings,
    /// The daemon's clock.
    pub(crate) clock: RunClock,
    /// The client of the platform's store.
    pub(crate) store: HttpStore,
    /// The inputs from the daemon.
    pub(crate) rx: mpsc::Receiver<DistributionInput>,
    /// The outputs to the daemon.
    pub(crate) tx: mpsc::Sender<DistributionOutput>,
    /// The settings document in force, which peers can pull.
    pub(crate) document: watch::Sender<(Version, Bytes)>,
    /// The daemon's status, which is written to the platform whenever it changes.
    pub(crate) status: watch::Receiver<DaemonStatus>,
}

/// Runs the distribution until `stop` is cancelled; writes the last status before it returns.
pub(crate) async fn run_distribution(context: DistributionContext, stop: CancellationToken) {
    let cfg = &context.cfg;
    let core = Distribution::new(DistributionSettings {
        member: MemberId::from_name(&cfg.name),
        zone: cfg.zone.clone(),
        seed: context.clock.incarnation().into(),
        expects_peers: !cfg.seeds.is_empty(),
        ..DistributionSettings::default()
    });
    let mut driver = Driver {
        core,
        pending_calls: FuturesUnordered::new(),
        pending_watch: Box::pin(pending()),
        peer_addresses: HashMap::new(),
        next_seed: 0,
        context,
    };
    driver.run(stop).await;
}

struct Driver {
    core: Distribution,
    context: DistributionContext,
    pending_calls: FuturesUnordered<BoxFuture<'static, DistributionEvent>>,
    pending_watch: BoxFuture<'static, DistributionEvent>,
    peer_addresses: HashMap<MemberId, SocketAddr>,
    next_seed: usize,
}

impl Driver {
    async fn run(&mut self, stop: CancellationToken) {
        let mut seed_pulls = interval(SEED_PULL_INTERVAL);
        seed_pulls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut event = DistributionEvent::Tick;
        loop {
            if self.handle(event).await.is_err() {
                break;
            }
            event = tokio::select! {
                () = stop.cancelled() => break,
                e = self.next_event() => e,
                _ = seed_pulls.tick() => {
                    self.pull_from_seed();
                    DistributionEvent::Tick
                }
            };
        }
        // The last status shows how the daemon ended.
        let last = self.write_status(Duration::ZERO);
        let _ = last.await;
    }

    async fn next_event(&mut self) -> DistributionEvent {
        let deadline = self.core.next_deadline();
        let clock = self.context.clock;
        let timer = async {
            match deadline {
                Some(t) => sleep_until(clock.instant(t)).await,
                None => pending().await,
            }
        };
        tokio::select! {
            Some(input) = self.context.rx.recv() => match input {
                DistributionInput::PeerVersion { from, address, version } => {
                    self.peer_addresses.extend(address.map(|a| (from, a)));
                    DistributionEvent::PeerVersion { from, version }
                }
                DistributionInput::Members(members) => {
                    let addresses = members.iter().map(|m| (m.member.id, m.address));
                    self.peer_addresses.extend(addresses);
                    DistributionEvent::Members(members.into_iter().map(|m| m.member).collect())
                }
            },
            e = &mut self.pending_watch => {
                self.pending_watch = Box::pin(pending());
                e
            }
            Some(e) = self.pending_calls.next() => e,
            Ok(()) = self.context.status.changed() => {
                self.pending_calls.push(self.write_status(STATUS_WRITE_DELAY));
                DistributionEvent::Tick
            }
            () = timer => DistributionEvent::Tick,
        }
    }

    async fn handle(&mut self, event: DistributionEvent) -> Result<(), ()> {
        let mut out = Vec::new();
        self.core.handle(self.context.clock.now(), event, &mut out);
        for action in out {
            self.execute(action).await?;
        }
        Ok(())
    }

    /// Executes an action.
    ///
    /// Fails if the daemon dropped the receiver of the outputs.
    async fn execute(&mut self, action: DistributionAction) -> Result<(), ()> {
        match action {
            DistributionAction::WatchPlatform { after, wait } => {
                self.pending_watch = Box::pin(watch_settings(
                    self.context.store.clone(),
                    format!("settings/{}", self.context.cfg.user),
                    after,
                    wait,
                ));
            }
            DistributionAction::StopWatch => self.pending_watch = Box::pin(pending()),
            DistributionAction::PullFrom { peer } => self.pull_from_peer(peer),
            DistributionAction::Install(catalog) => {
                let document = self.core.document().cloned().unwrap_or_default();
                self.context
                    .document
                    .send_replace((catalog.version, document));
                let output = DistributionOutput::Install(catalog);
                self.context.tx.send(output).await.map_err(drop)?;
            }
            DistributionAction::Notify { version } => {
                let output = DistributionOutput::Notify(version);
                self.context.tx.send(output).await.map_err(drop)?;
            }
            // The delayed write includes the version, which the daemon puts in force shortly
            // afterwards.
            DistributionAction::WriteStatus => self
                .pending_calls
                .push(self.write_status(STATUS_WRITE_DELAY)),
        }
        Ok(())
    }

    fn pull_from_peer(&self, peer: MemberId) {
        let Some(address) = self.peer_addresses.get(&peer).copied() else {
            self.pending_calls.push(Box::pin(async move {
                DistributionEvent::PeerDocument {
                    from: peer,
                    document: None,
                }
            }));
            return;
        };
        let group = self.context.cfg.user.clone();
        let above = self.core.version();
        self.pending_calls.push(Box::pin(async move {
            DistributionEvent::PeerDocument {
                from: peer,
                document: pull_document(address, group, above).await,
            }
        }));
    }

    /// Pulls a first version from the next seed, in case the platform is unavailable.
    fn pull_from_seed(&mut self) {
        let seeds = &self.context.cfg.seeds;
        if seeds.is_empty() || self.core.version() != Version::default() {
            return;
        }
        let seed = &seeds[self.next_seed % seeds.len()];
        self.next_seed += 1;
        if seed.name != self.context.cfg.name {
            self.peer_addresses
                .entry(seed.member())
                .or_insert(seed.address);
            self.pull_from_peer(seed.member());
        }
    }

    fn write_status(&self, delay: Duration) -> BoxFuture<'static, DistributionEvent> {
        let store = self.context.store.clone();
        let status = self.context.status.clone();
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
        format!("status/{}/{}", self.context.cfg.user, self.context.cfg.name)
    }
}

async fn watch_settings(
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
