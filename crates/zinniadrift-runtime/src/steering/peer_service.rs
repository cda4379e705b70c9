use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use zinniadrift_core::steering::KnownState;

use super::front::{JSON, respond};
use super::input::{Input, StateMark};

/// Where a balancer asks a peer for news.
pub(super) const NEWS_PATH: &str = "/steering/news";
/// The longest question that is read, in bytes.
const MAX_QUESTION: usize = 4_096;
/// The longest wait that a peer may ask for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Asks a peer for what the asking balancer misses.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct PeerQuestion {
    /// What the asking balancer knows.
    pub(super) known: KnownState,
    /// How long the peer may wait for news, in milliseconds.
    pub(super) wait_ms: u64,
}

/// Answers the questions of peers.
#[derive(Clone)]
pub(super) struct PeerService {
    pub(super) mark: watch::Receiver<StateMark>,
    pub(super) inputs: mpsc::Sender<Input>,
}

impl PeerService {
    /// Answers one request: at once if there is news, else after the wait that was asked for.
    pub(super) async fn answer(mut self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        if req.uri().path() != NEWS_PATH {
            return respond(StatusCode::NOT_FOUND, JSON, Vec::new());
        }
        let body = Limited::new(req.into_body(), MAX_QUESTION).collect().await;
        let question = body.ok().map(|b| b.to_bytes());
        let question = question.and_then(|b| serde_json::from_slice::<PeerQuestion>(&b).ok());
        let Some(question) = question else {
            return respond(StatusCode::BAD_REQUEST, JSON, Vec::new());
        };
        let wait = Duration::from_millis(question.wait_ms).min(MAX_WAIT);
        let news = self.mark.wait_for(|m| m.has_news_for(question.known));
        // Without news in time the answer still tells how current this balancer is.
        let _waited = tokio::time::timeout(wait, news).await.is_ok();
        let (tx, rx) = oneshot::channel();
        let asked = self.inputs.send(Input::Question(question.known, tx)).await;
        let update = match asked {
            Ok(()) => rx.await.ok().flatten(),
            Err(_) => None,
        };
        let Some(update) = update else {
            return respond(StatusCode::SERVICE_UNAVAILABLE, JSON, Vec::new());
        };
        match serde_json::to_vec(&update) {
            Ok(text) => respond(StatusCode::OK, JSON, text),
            Err(e) => {
                tracing::error!(error = %e, "cannot encode news for a peer");
                respond(StatusCode::INTERNAL_SERVER_ERROR, JSON, Vec::new())
            }
        }
    }
}
