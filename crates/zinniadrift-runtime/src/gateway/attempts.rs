use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use zinniadrift_core::gateway::{AttemptId, RequestId};
use zinniadrift_core::ids::TargetId;
use zinniadrift_core::settings::ServiceCatalog;

use super::attempt::{Attempt, Finished, TargetClient, target_client};
use super::pending::Pending;

/// The attempts in progress at one gateway.
pub(super) struct Attempts {
    client: TargetClient,
    targets: HashMap<TargetId, Endpoint>,
    running: HashMap<AttemptId, Running>,
    tasks: JoinSet<Option<Finished>>,
}

#[derive(Clone, Copy)]
struct Endpoint {
    address: SocketAddr,
    progress_timeout: Duration,
}

struct Running {
    req: RequestId,
    stop: CancellationToken,
}

impl Attempts {
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
    pub(super) fn install(&mut self, catalog: &ServiceCatalog) {
        let endpoints = catalog.services.iter().flat_map(|s| {
            let millis = s.policies.requests.progress_timeout_ms;
            s.targets.iter().map(move |t| {
                let endpoint = Endpoint {
                    address: t.address,
                    progress_timeout: Duration::from_millis(millis),
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
        pending: &Pending,
        remaining: Duration,
    ) -> bool {
        let Some(endpoint) = self.targets.get(&target).copied() else {
            return false;
        };
        let attempt = Attempt {
            id,
            target: endpoint.address,
            method: pending.method.clone(),
            rest: pending.rest.clone(),
            headers: pending.headers.clone(),
            body: pending.body.clone(),
            remaining,
            progress_timeout: endpoint.progress_timeout,
        };
        let stop = CancellationToken::new();
        let token = stop.clone();
        let run = attempt.run(self.client.clone());
        self.tasks
            .spawn(async move { token.run_until_cancelled(run).await });
        let req = pending.id;
        self.running.insert(id, Running { req, stop });
        true
    }

    /// Cancels an attempt and closes its connection.
    ///
    /// An HTTP/1.1 connection carries one exchange at a time, so this both cancels the request and
    /// retires the connection.
    pub(super) fn stop(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.remove(&attempt) {
            running.stop.cancel();
        }
    }

    /// Waits for an attempt to finish and returns its result with its request.
    ///
    /// The future stays pending while no attempt runs.
    pub(super) async fn next(&mut self) -> (Option<RequestId>, Finished) {
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
