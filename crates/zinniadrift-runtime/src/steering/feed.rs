use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::steering::{CallFault, StoreStep, WatchLoop, WatchSettings};

use super::answer_source::{AnswerSource, KnowledgeInput};
use super::{Border, Feed, FeedAnswer};
use crate::daemon::RunClock;

/// Holds what a task that follows one feed needs.
pub(super) struct FeedTask<B> {
    pub(super) border: Arc<B>,
    pub(super) feed: Feed,
    pub(super) cfg: WatchSettings,
    pub(super) clock: RunClock,
    pub(super) tx: mpsc::Sender<KnowledgeInput>,
    /// Tells the peer client whether the store fails.
    pub(super) failing: watch::Sender<bool>,
    /// Changes when the process stood still.
    pub(super) pauses: watch::Receiver<u64>,
    pub(super) stop: CancellationToken,
}

impl<B: Border> FeedTask<B> {
    /// Keeps the feed known until the process stops.
    pub(super) async fn run(mut self) {
        let mut watch_loop = WatchLoop::new(self.cfg.clone());
        loop {
            let step = watch_loop.next_step(self.clock.now());
            tokio::select! {
                () = self.stop.cancelled() => return,
                Ok(()) = self.pauses.changed() => watch_loop.restart(self.clock.now()),
                result = perform(&*self.border, self.feed, self.clock, step) => {
                    if let Some(result) = result {
                        self.on_result(&mut watch_loop, result).await;
                    }
                }
            }
        }
    }

    async fn on_result(&self, watch_loop: &mut WatchLoop, result: Result<FeedAnswer, CallFault>) {
        let now = self.clock.now();
        match result {
            Ok(answer) => {
                let changed = answer.update.is_some();
                watch_loop.on_answer(now, answer.as_of, changed);
                let input = KnowledgeInput {
                    source: AnswerSource::Store,
                    feed: self.feed,
                    answer,
                    age: Duration::ZERO,
                };
                if self.tx.send(input).await.is_err() {
                    return;
                }
            }
            Err(fault) => {
                watch_loop.on_fault(now, fault);
                if !*self.failing.borrow() || fault == CallFault::Compacted {
                    tracing::warn!(feed = %self.feed, cause = %fault, "store call failed");
                }
            }
        }
        let failing = watch_loop.is_failing();
        let changed = self
            .failing
            .send_if_modified(|f| std::mem::replace(f, failing) != failing);
        if changed && !failing {
            tracing::info!(feed = %self.feed, "store answers again");
        }
    }
}

/// Makes the call; `None` after a pause.
async fn perform<B: Border>(
    border: &B,
    feed: Feed,
    clock: RunClock,
    step: StoreStep,
) -> Option<Result<FeedAnswer, CallFault>> {
    match step {
        StoreStep::Pause(until) => {
            tokio::time::sleep_until(clock.instant(until)).await;
            None
        }
        StoreStep::List => Some(border.list(feed).await),
        StoreStep::Watch { from, wait } => Some(border.watch(feed, from, wait).await),
    }
}
