use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use zinniadrift_store::{HttpTransport, StoreError};

use super::answer_source::{AnswerSource, KnowledgeInput};
use super::front::SNAPSHOT_PATH;
use super::{Feed, FeedAnswer, PeerSnapshot, Update};

/// The pause between two questions to peers while the store does not answer; an edit or a drain
/// that the peer knows arrives well within the bound of seconds.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// The time limit of one question; a peer in another zone answers within milliseconds.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Asks peers while the store does not answer this balancer.
pub(super) struct PeerClient {
    pub(super) peers: Vec<SocketAddr>,
    pub(super) own: Option<SocketAddr>,
    pub(super) failing: [watch::Receiver<bool>; 2],
    pub(super) tx: mpsc::Sender<KnowledgeInput>,
    pub(super) stop: CancellationToken,
}

impl PeerClient {
    /// Runs until the process stops.
    pub(super) async fn run(mut self) {
        let transport = HttpTransport::new();
        let own = self.own;
        self.peers.retain(|p| Some(*p) != own);
        let mut turn = 0_usize;
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = wait_for_failure(&mut self.failing) => {}
            }
            let Some(&peer) = self.peers.get(turn % self.peers.len().max(1)) else {
                return;
            };
            turn += 1;
            tokio::select! {
                () = self.stop.cancelled() => return,
                result = ask(&transport, peer) => match result {
                    Ok(snapshot) => self.pass_on(snapshot).await,
                    Err(e) => tracing::debug!(%peer, error = %e, "peer did not answer"),
                }
            }
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = tokio::time::sleep(ASK_EVERY) => {}
            }
        }
    }

    async fn pass_on(&self, snapshot: PeerSnapshot) {
        let (directory_age, routes_age) = (snapshot.directory_age, snapshot.routes_age);
        let (listing, table) = snapshot.into_parts();
        let as_of = listing.as_of;
        let parts = [
            (Feed::Targets, Update::Listing(listing), directory_age),
            (Feed::Routes, Update::Routes(Arc::new(table)), routes_age),
        ];
        for (feed, update, age) in parts {
            let answer = FeedAnswer {
                as_of,
                update: Some(update),
            };
            let input = KnowledgeInput {
                source: AnswerSource::Peer,
                feed,
                answer,
                age,
            };
            if self.tx.send(input).await.is_err() {
                return;
            }
        }
    }
}

async fn wait_for_failure(failing: &mut [watch::Receiver<bool>; 2]) {
    let [a, b] = failing;
    // A closed channel means that the process stops, which the caller waits for too.
    tokio::select! {
        Ok(()) = async { a.wait_for(|f| *f).await.map(drop) } => {}
        Ok(()) = async { b.wait_for(|f| *f).await.map(drop) } => {}
        else => std::future::pending().await,
    }
}

async fn ask(transport: &HttpTransport, peer: SocketAddr) -> Result<PeerSnapshot, StoreError> {
    let uri = format!("http://{peer}{SNAPSHOT_PATH}");
    let req = Request::get(uri).body(Full::new(Bytes::new()));
    let unreadable = |e: &dyn std::fmt::Display| StoreError::Unavailable {
        reason: e.to_string().into(),
    };
    let req = req.map_err(|e| unreadable(&e))?;
    let (status, body) = transport.call(req, ASK_LIMIT).await?;
    if status != StatusCode::OK {
        return Err(StoreError::Refused {
            status: status.as_u16(),
        });
    }
    serde_json::from_slice(&body).map_err(|e| unreadable(&e))
}
