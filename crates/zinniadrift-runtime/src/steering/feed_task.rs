use std::sync::Arc;

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::steering::{
    PauseCount, Position, StoreCallError, StoreNeed, StoreStep, WatchLoop, WatchSettings,
};

use super::edge_metrics::EdgeHistograms;
use super::input::{DriverState, Input};
use super::store_health::StoreHealth;
use super::{Feed, FeedResponse, PlatformAdapter};
use crate::daemon::RunClock;

/// A task that watches one feed of the store.
pub(super) struct FeedTask<A> {
    pub(super) adapter: watch::Receiver<Arc<A>>,
    pub(super) feed: Feed,
    pub(super) cfg: WatchSettings,
    pub(super) clock: RunClock,
    pub(super) inputs: mpsc::Sender<Input>,
    /// The driver's state, which includes updates from peers.
    pub(super) state: watch::Receiver<DriverState>,
    /// The reason for calling the store, if there is one.
    pub(super) need: watch::Receiver<StoreNeed>,
    /// The results of the feeds with short waits, which the feed of zone drains follows.
    pub(super) health: watch::Sender<StoreHealth>,
    pub(super) histograms: EdgeHistograms,
    pub(super) stop: CancellationToken,
}

impl<A> Clone for FeedTask<A> {
    fn clone(&self) -> Self {
        Self {
            adapter: self.adapter.clone(),
            feed: self.feed,
            cfg: self.cfg.clone(),
            clock: self.clock,
            inputs: self.inputs.clone(),
            state: self.state.clone(),
            need: self.need.clone(),
            health: self.health.clone(),
            histograms: self.histograms.clone(),
            stop: self.stop.clone(),
        }
    }
}

impl<A: PlatformAdapter> FeedTask<A> {
    /// Keeps the feed up to date until the process stops.
    pub(super) async fn run(mut self) {
        let mut watch_loop = WatchLoop::new(self.cfg.clone());
        let mut failing = false;
        let mut pauses = PauseCount::default();
        let mut health = self.health.subscribe();
        let mut failures = health.clone();
        let mut known_health = *health.borrow();
        loop {
            let now = self.clock.now();
            let state = *self.state.borrow_and_update();
            if state.pauses != pauses {
                pauses = state.pauses;
                watch_loop.restart(now);
            }
            if self.feed == Feed::ZoneDrains {
                let new = *health.borrow_and_update();
                if new.failures > known_health.failures {
                    watch_loop.on_other_failure(now);
                }
                if new.responds && new.responses > known_health.responses {
                    watch_loop.on_other_response(now);
                }
                known_health = new;
            }
            let known = self.known_revision(state);
            let need = *self.need.borrow_and_update();
            let step = watch_loop.next_step(now, need, known);
            let is_abandoned = self.feed == Feed::ZoneDrains;
            let is_abandoned = is_abandoned && matches!(step, StoreStep::Watch { .. });
            let adapter = Arc::clone(&self.adapter.borrow());
            let result = tokio::select! {
                () = self.stop.cancelled() => return,
                Ok(()) = self.need.changed(), if !step.is_call() => continue,
                Ok(()) = health.changed(), if !step.is_call() && self.feed == Feed::ZoneDrains => continue,
                () = wait_for_failure(&mut failures, known_health.failures), if is_abandoned => continue,
                () = wait_for_pause(&mut self.state, pauses) => continue,
                result = execute(&*adapter, self.feed, self.clock, step) => result,
            };
            let Some(result) = result else { continue };
            let outcome = match &result {
                Ok(response) if response.update.is_some() => "news".to_owned(),
                Ok(_) => "nothing-new".to_owned(),
                Err(error) => error.to_string(),
            };
            let took = self.clock.now().since(now);
            self.histograms.observe_call(self.feed, &outcome, took);
            self.on_result(&mut watch_loop, &mut failing, result, pauses)
                .await;
        }
    }

    fn known_revision(&self, state: DriverState) -> Position {
        match self.feed {
            Feed::Targets => state.known.targets,
            Feed::Routes => state.known.routes,
            Feed::ZoneDrains => state.known.zones,
        }
    }

    /// Publishes whether the store responded, for the feed of zone drains.
    fn report(&self, error: Option<&StoreCallError>) {
        let responds = match error {
            None => true,
            Some(StoreCallError::NoAnswer | StoreCallError::Refused | StoreCallError::Returned) => {
                false
            }
            Some(
                StoreCallError::Compacted | StoreCallError::Unreadable | StoreCallError::MorePages,
            ) => return,
        };
        self.health.send_modify(|health| {
            health.responds = responds;
            health.responses += u64::from(responds);
            health.failures += u64::from(!responds);
        });
    }

    async fn on_result(
        &self,
        watch_loop: &mut WatchLoop,
        failing: &mut bool,
        result: Result<FeedResponse, StoreCallError>,
        pauses: PauseCount,
    ) {
        let now = self.clock.now();
        let feed = self.feed;
        if feed != Feed::ZoneDrains {
            self.report(result.as_ref().err());
        }
        match result {
            Ok(response) => {
                if response.stale {
                    watch_loop.on_stale_list(now, response.as_of);
                } else {
                    watch_loop.on_response(now, response.as_of, response.update.is_some());
                }
                if std::mem::replace(failing, false) {
                    tracing::info!(%feed, as_of = %response.as_of, "store answers again");
                }
                // The driver drops the receiver only when the process stops.
                self.inputs
                    .send(Input::Store(feed, response, pauses))
                    .await
                    .unwrap_or_default();
            }
            Err(StoreCallError::MorePages) => {
                watch_loop.on_failure(now, StoreCallError::MorePages);
            }
            Err(error) => {
                watch_loop.on_failure(now, error);
                if !std::mem::replace(failing, true) {
                    tracing::warn!(%feed, cause = %error, "store call failed");
                }
            }
        }
    }
}

/// Waits until the number of failed calls differs from `known`.
async fn wait_for_failure(health: &mut watch::Receiver<StoreHealth>, known: u64) {
    if health.wait_for(|h| h.failures != known).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until the number of pauses of the process differs from `known`.
pub(super) async fn wait_for_pause(state: &mut watch::Receiver<DriverState>, known: PauseCount) {
    if state.wait_for(|s| s.pauses != known).await.is_err() {
        // The driver has ended, so the process is about to stop.
        std::future::pending::<()>().await;
    }
}

/// Executes a step; `None` if the step was a delay and not a call.
async fn execute<A: PlatformAdapter>(
    adapter: &A,
    feed: Feed,
    clock: RunClock,
    step: StoreStep,
) -> Option<Result<FeedResponse, StoreCallError>> {
    match step {
        StoreStep::Idle => std::future::pending().await,
        StoreStep::WaitUntil(until) => {
            tokio::time::sleep_until(clock.instant(until)).await;
            None
        }
        StoreStep::List { stale, extent } => Some(adapter.list(feed, stale, extent).await),
        StoreStep::Watch { from, wait } => Some(adapter.watch(feed, from, wait).await),
    }
}
