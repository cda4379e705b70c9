use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot, watch};

use zinniadrift_core::steering::{Admission, FanOut, ObservationReport, PeerInfo, ShareRequest};

use super::http_server::{JSON, respond};
use super::input::{DriverState, Input, UpdateRequest};
use super::peer_message::{COMPACT, PeerRequest, PeerResponse};
use crate::daemon::RunClock;

/// The path on which a peer serves updates.
pub(super) const NEWS_PATH: &str = "/steering/news";
/// The path on which a peer takes reports of observations.
pub(super) const OBSERVATIONS_PATH: &str = "/steering/observations";
/// The maximum size of a request in bytes.
const MAX_REQUEST_BYTES: usize = 4_096;
/// The maximum time for which a request is held open, whatever the peer asks for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// The service that sends updates to peers.
#[derive(Clone)]
pub(super) struct PeerService {
    pub(super) state: watch::Receiver<DriverState>,
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) clock: RunClock,
    pub(super) fan_out: Arc<Mutex<FanOut>>,
}

impl PeerService {
    /// Responds to a request: at once if there is an update or the peer is referred, otherwise when
    /// there is an update or the requested wait has passed.
    pub(super) async fn handle(mut self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        if req.uri().path() == OBSERVATIONS_PATH {
            return self.take_report(req).await;
        }
        if req.uri().path() != NEWS_PATH {
            return respond(StatusCode::NOT_FOUND, JSON, Vec::new());
        }
        let accept = req.headers().get(header::ACCEPT);
        let format = if accept.is_some_and(|a| a == COMPACT) {
            Format::Compact
        } else {
            Format::Json
        };
        let Some(mut request) = read_json::<PeerRequest>(req).await else {
            return respond(StatusCode::BAD_REQUEST, JSON, Vec::new());
        };
        // The time for which the request is held from here on does not shorten a grant.
        let arrived = self.clock.now();
        if let Some(resp) = request
            .requester
            .as_ref()
            .and_then(|r| self.refer(r, format))
        {
            return resp;
        }
        if let Some(report) = request.observations.take() {
            self.pass_report(report).await;
        }
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let state = *self.state.borrow();
        let known_observations = request.known_observations();
        let baseline = state.observations.baseline(known_observations);
        let has_update = self.state.wait_for(|s| {
            s.has_update_for(request.known, state.last_confirmed)
                || s.observations.is_alert_after(baseline)
        });
        // After a time-out the response still carries the age of this balancer's state.
        let _waited = tokio::time::timeout(wait, has_update).await.is_ok();
        let (tx, rx) = oneshot::channel();
        let requester = request.requester.filter(|_| request.wants_share);
        let share = requester.map(|r| ShareRequest {
            peer: r.address,
            subtree: request.subtree,
            arrived,
        });
        let update_request = UpdateRequest {
            known: request.known,
            share,
            observations: known_observations,
        };
        let input = Input::PeerRequest(update_request, tx);
        let sent = self.inputs.send(input).await;
        let update = match sent {
            Ok(()) => rx.await.ok().flatten(),
            Err(_) => None,
        };
        let Some(update) = update else {
            return respond(StatusCode::SERVICE_UNAVAILABLE, JSON, Vec::new());
        };
        format.respond(PeerResponse::Update(Box::new(update)))
    }

    /// Takes a report that a peer sends beside its requests.
    async fn take_report(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(report) = read_json::<ObservationReport>(req).await else {
            return respond(StatusCode::BAD_REQUEST, JSON, Vec::new());
        };
        self.pass_report(report).await;
        respond(StatusCode::NO_CONTENT, JSON, Vec::new())
    }

    async fn pass_report(&self, report: ObservationReport) {
        let input = Input::Observations(Box::new(report));
        // The driver drops the receiver only when the process stops.
        self.inputs.send(input).await.unwrap_or_default();
    }

    /// Returns the response that refers a peer to others, or `None` if the peer is served here.
    fn refer(&self, requester: &PeerInfo, format: Format) -> Option<Response<Full<Bytes>>> {
        let admission = self.fan_out.lock().admit(self.clock.now(), requester);
        let Admission::Refer(peers) = admission else {
            return None;
        };
        tracing::debug!(asker = %requester.address, peers = peers.len(), "peer referred to others");
        let mut resp = format.respond(PeerResponse::Refer(peers));
        // The peer sends no further request soon, and the number of connections is limited.
        let close = header::HeaderValue::from_static("close");
        resp.headers_mut().insert(header::CONNECTION, close);
        Some(resp)
    }
}

/// Reads a request of limited size; `None` if it cannot be read or decoded.
async fn read_json<T: DeserializeOwned>(req: Request<Incoming>) -> Option<T> {
    let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES);
    let body = body.collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

/// The encoding of a response, as the requesting balancer accepts it.
#[derive(Clone, Copy, Debug)]
enum Format {
    Json,
    Compact,
}

impl Format {
    fn respond(self, response: PeerResponse) -> Response<Full<Bytes>> {
        match self {
            Self::Compact => respond(StatusCode::OK, COMPACT, response.into_compact()),
            Self::Json => match serde_json::to_vec(&response) {
                Ok(text) => respond(StatusCode::OK, JSON, text),
                Err(e) => {
                    tracing::error!(error = %e, "cannot encode a response to a peer");
                    respond(StatusCode::INTERNAL_SERVER_ERROR, JSON, Vec::new())
                }
            },
        }
    }
}
