use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::input::Input;
use super::supervisor::panic_message;
use super::{EdgeSettings, PlatformAdapter};
use crate::daemon::DaemonError;

/// The interval at which the settings file is read, because it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// The content of the settings file.
#[derive(Debug)]
pub struct EdgeConfig<A> {
    /// The adapter to the platform.
    pub adapter: A,
    /// The settings of the balancer.
    pub settings: EdgeSettings,
}

/// A task that reloads the settings on SIGHUP and periodically.
pub(super) struct ReloadTask<A, F> {
    /// Reads and validates the settings file.
    pub(super) load: F,
    pub(super) adapter: watch::Sender<Arc<A>>,
    pub(super) relays: watch::Sender<Vec<std::net::SocketAddr>>,
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) settings: EdgeSettings,
    /// Whether the drained zones are read, which is decided at the start.
    pub(super) reads_zone_drains: bool,
    pub(super) hangup: Signal,
    pub(super) stop: CancellationToken,
}

impl<A, F> ReloadTask<A, F>
where
    A: PlatformAdapter,
    F: Fn() -> Result<EdgeConfig<A>, DaemonError>,
{
    /// Runs until the process stops.
    pub(super) async fn run(mut self) {
        let mut ticks = tokio::time::interval(RELOAD_INTERVAL);
        ticks.tick().await;
        loop {
            let by_signal = tokio::select! {
                () = self.stop.cancelled() => return,
                Some(()) = self.hangup.recv() => true,
                _ = ticks.tick() => false,
            };
            let reload = AssertUnwindSafe(self.reload(by_signal))
                .catch_unwind()
                .await;
            if let Err(panic) = reload {
                let cause = panic_message(&*panic);
                tracing::error!(cause, "settings not read again; the old ones stay in force");
            }
        }
    }

    async fn reload(&mut self, by_signal: bool) {
        let EdgeConfig {
            adapter,
            mut settings,
        } = match (self.load)() {
            Ok(config) => config,
            Err(e) => {
                tracing::error!(error = %e, "settings not read again; the old ones stay in force");
                return;
            }
        };
        if !self.reads_zone_drains && settings.steering.zone_drains.enabled {
            if by_signal {
                tracing::warn!("zone drains take effect at the next start");
            }
            settings.steering.zone_drains.enabled = false;
        }
        if settings == self.settings {
            if by_signal {
                tracing::info!("settings read again; nothing changed");
            }
            return;
        }
        if !settings.same_sockets(&self.settings) {
            tracing::warn!("changed listening addresses take effect at the next start");
        }
        tracing::info!(seeds = ?settings.seeds, "settings changed");
        self.adapter.send_replace(Arc::new(adapter));
        self.relays.send_if_modified(|relays| {
            let changed = *relays != settings.seeds;
            relays.clone_from(&settings.seeds);
            changed
        });
        self.settings = settings.clone();
        // The driver drops the receiver only when the process stops.
        let input = Input::Settings(Box::new(settings));
        self.inputs.send(input).await.unwrap_or_default();
    }
}
