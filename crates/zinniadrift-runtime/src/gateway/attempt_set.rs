use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use zinniadrift_core::gateway::{AttemptId, RequestId};
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::settings::ServiceCatalog;

use super::attempt::{Attempt, FinishedAttempt, TargetClient, target_client};
use super::pending_request::PendingRequest;

/// The attempts in progress at one gateway.
pub(super) struct AttemptSet {
    client: TargetClient,
    targets: HashMap<TargetId, TargetEndpoint>,
    running: HashMap<AttemptId, RunningAttempt>,
    tasks: JoinSet<Option<FinishedAttempt>>,
}

#[derive(Clone, Copy)]
struct TargetEndpoint {
    address: SocketAddr,
    progress_timeout: Duration,
}

struct RunningAttempt {
    req: RequestId,
    cancel: CancellationToken,
}

impl AttemptSet {
    /// Returns a set without attempts and without known targets.
    pub(super) fn new() -> Self {
        Self {
            client: target_client(),
            targets: HashMap::new(),
            running: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Replaces the targets' addresses and progress time-outs with those of the catalog.
    pub(super) fn update_targets(&mut self, catalog: &ServiceCatalog) {
        let endpoints = catalog.services.iter().flat_map(|s| {
            let timeout_ms = s.policies.requests.progress_timeout_ms;
            s.targets.iter().map(move |t| {
                let endpoint = TargetEndpoint {
                    address: t.address,
                    progress_timeout: Duration::from_millis(timeout_ms),
                };
                (t.id, endpoint)
            })
        });
        self.targets = endpoints.collect();
    }

    /// Starts an attempt; returns `false` if the target's address is unknown.
    pub(super) fn start(
        &mut self,
        id: AttemptId,
        target: TargetId,
        pending: &PendingRequest,
        remaining: Duration,
    ) -> bool {
        let Some(endpoint) = self.targets.get(&target).copied() else {
            return false;
        };
        let attempt = Attempt {
            id,
            target: endpoint.address,
            method: pending.method.clone(),
            path_and_query: pending.path_and_query.clone(),
            headers: pending.headers.clone(),
            body: pending.body.clone(),
            remaining,
            progress_timeout: endpoint.progress_timeout,
        };
        let cancel = CancellationToken::new();
        let token = cancel.clone();
        let run = attempt.run(self.client.clone());
        self.tasks
            .spawn(async move { token.run_until_cancelled(run).await });
        let req = pending.id;
        self.running.insert(id, RunningAttempt { req, cancel });
        true
    }

    /// Cancels an attempt and closes its connection.
    ///
    /// An HTTP/1.1 connection carries one exchange at a time, so this both cancels the request and
    /// retires the connection.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.remove(&attempt) {
            running.cancel.cancel();
        }
    }

    /// Waits for an attempt to finish and returns its result with its request.
    ///
    /// The future stays pending while no attempt runs.
    pub(super) async fn next_finished(&mut self) -> (Option<RequestId>, FinishedAttempt) {
        loop {
            match self.tasks.join_next().await {
                Some(Ok(Some(finished))) => {
                    let running = self.running.remove(&finished.attempt);
                    return (running.map(|r| r.req), finished);
                }
                Some(Ok(None) | Err(_)) => {}
                None => return std::future::pending().await,
            }
        }
    }

    /// Cancels all attempts and waits for their tasks.
    pub(super) async fn shutdown(&mut self) {
        self.tasks.shutdown().await;
    }
}
