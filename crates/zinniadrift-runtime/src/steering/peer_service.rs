use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot, watch};

use zinniadrift_core::steering::{Admission, FanOut, PeerInfo};

use super::http_server::{JSON, respond};
use super::input::{DriverState, Input};
use super::peer_message::{PeerRequest, PeerResponse};
use crate::daemon::RunClock;

/// Where a balancer asks a peer for news.
pub(super) const NEWS_PATH: &str = "/steering/news";
/// The longest question that is read, in bytes.
const MAX_REQUEST_BYTES: usize = 4_096;
/// The longest wait that a peer may ask for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Answers the questions of peers.
#[derive(Clone)]
pub(super) struct PeerService {
    pub(super) state: watch::Receiver<DriverState>,
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) clock: RunClock,
    pub(super) fan_out: Arc<Mutex<FanOut>>,
}

impl PeerService {
    /// Answers one request: at once if there is news or no place, else after the wait asked for.
    pub(super) async fn answer(mut self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        if req.uri().path() != NEWS_PATH {
            return respond(StatusCode::NOT_FOUND, JSON, Vec::new());
        }
        let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES)
            .collect()
            .await;
        let request = body.ok().map(|b| b.to_bytes());
        let request = request.and_then(|b| serde_json::from_slice::<PeerRequest>(&b).ok());
        let Some(request) = request else {
            return respond(StatusCode::BAD_REQUEST, JSON, Vec::new());
        };
        if let Some(resp) = request.asker.as_ref().and_then(|a| self.refer(a)) {
            return resp;
        }
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let last_confirmed = self.state.borrow().last_confirmed;
        let has_update = self
            .state
            .wait_for(|s| s.has_update_for(request.known, last_confirmed));
        // Without news in time the answer still tells how current this balancer is.
        let _waited = tokio::time::timeout(wait, has_update).await.is_ok();
        let (tx, rx) = oneshot::channel();
        let sent = self
            .inputs
            .send(Input::PeerRequest(request.known, tx))
            .await;
        let update = match sent {
            Ok(()) => rx.await.ok().flatten(),
            Err(_) => None,
        };
        let Some(update) = update else {
            return respond(StatusCode::SERVICE_UNAVAILABLE, JSON, Vec::new());
        };
        respond_with(&PeerResponse::Update(Box::new(update)))
    }

    /// Returns the answer to a peer that has to ask another one.
    fn refer(&self, asker: &PeerInfo) -> Option<Response<Full<Bytes>>> {
        let admission = self.fan_out.lock().admit(self.clock.now(), asker);
        let Admission::Refer(peers) = admission else {
            return None;
        };
        tracing::debug!(asker = %asker.address, peers = peers.len(), "peer referred to others");
        let mut resp = respond_with(&PeerResponse::Refer(peers));
        // The peer does not come back soon, and connections are few.
        let close = header::HeaderValue::from_static("close");
        resp.headers_mut().insert(header::CONNECTION, close);
        Some(resp)
    }
}

fn respond_with(answer: &PeerResponse) -> Response<Full<Bytes>> {
    match serde_json::to_vec(answer) {
        Ok(text) => respond(StatusCode::OK, JSON, text),
        Err(e) => {
            tracing::error!(error = %e, "cannot encode an answer to a peer");
            respond(StatusCode::INTERNAL_SERVER_ERROR, JSON, Vec::new())
        }
    }
}
