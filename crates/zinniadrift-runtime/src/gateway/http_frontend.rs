use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::extract::{Request, State};
use axum::response::Response;
use http::{HeaderMap, Method};
use http_body_util::{BodyExt, Limited};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::timeout_at;

use zinniadrift_core::error::ErrorKind;
use zinniadrift_core::gateway::{IdempotencyKey, Outcome, RequestId};
use zinniadrift_core::settings::{Service, ServiceCatalog};

use super::headers::{DEADLINE, IDEMPOTENCY_KEY, end_to_end};
use super::pending_request::{PendingRequest, RequestResult, is_idempotent};
use super::response::{reject, respond};
use crate::daemon::RunClock;

/// The limit of requests in progress; further requests are rejected as overload.
const MAX_REQUESTS_IN_PROGRESS: usize = 16_384;
const MAX_KEY_BYTES: usize = 255;
const MAX_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;

/// The HTTP front end: validates callers' requests and passes them to the driver.
#[derive(Debug)]
pub(super) struct HttpFrontend {
    pub(super) clock: RunClock,
    pub(super) catalog: watch::Receiver<Arc<ServiceCatalog>>,
    pub(super) requests: mpsc::Sender<PendingRequest>,
    pub(super) cancellations: mpsc::UnboundedSender<RequestId>,
    next_id: AtomicU64,
    request_permits: Semaphore,
}

/// The error kind and the text of a rejected request.
type Rejection = (ErrorKind, Box<str>);

/// A guard that notifies the driver if the caller disconnects before the response.
struct CancelGuard<'a> {
    frontend: &'a HttpFrontend,
    req: RequestId,
    armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            // The unbounded queue holds at most one entry per request in progress.
            let _ = self.frontend.cancellations.send(self.req);
        }
    }
}

impl HttpFrontend {
    pub(super) fn new(
        clock: RunClock,
        catalog: watch::Receiver<Arc<ServiceCatalog>>,
        requests: mpsc::Sender<PendingRequest>,
        cancellations: mpsc::UnboundedSender<RequestId>,
    ) -> Self {
        Self {
            clock,
            catalog,
            requests,
            cancellations,
            next_id: AtomicU64::new(1),
            request_permits: Semaphore::new(MAX_REQUESTS_IN_PROGRESS),
        }
    }

    async fn handle(&self, req: Request) -> Result<Response, Rejection> {
        let Ok(_permit) = self.request_permits.try_acquire() else {
            return Err((
                ErrorKind::Overloaded,
                "too many requests in progress".into(),
            ));
        };
        let (result_tx, result_rx) = oneshot::channel();
        let pending = self.read_request(req, result_tx).await?;
        let mut guard = CancelGuard {
            frontend: self,
            req: pending.id,
            armed: true,
        };
        if self.requests.send(pending).await.is_err() {
            guard.armed = false;
            return Err((ErrorKind::ShuttingDown, "shutting down".into()));
        }
        let result = result_rx.await;
        guard.armed = false;
        match result {
            Ok(result) => Ok(respond(result)),
            // The driver exited at its leave deadline; the request may already have been sent.
            Err(_) => Ok(respond(RequestResult {
                outcome: Outcome::Unknown {
                    kind: ErrorKind::OutcomeUnknown,
                },
                headers: HeaderMap::new(),
            })),
        }
    }

    /// Reads and validates a complete request.
    async fn read_request(
        &self,
        req: Request,
        result_tx: oneshot::Sender<RequestResult>,
    ) -> Result<PendingRequest, Rejection> {
        let catalog = self.catalog.borrow().clone();
        let path = req.uri().path();
        let Some((service, rest)) = find_service(&catalog, path) else {
            return Err((ErrorKind::NotFound, format!("no service at {path}").into()));
        };
        let path_and_query = match req.uri().query() {
            Some(query) => format!("{rest}?{query}").into(),
            None => rest.into(),
        };
        let key = parse_key(req.headers())?;
        check_method(req.method(), key.as_ref())?;
        let remaining = parse_deadline(req.headers(), service)?;
        let deadline = self.clock.now() + remaining;
        let max_body = service.policies.requests.max_body_bytes;
        let (parts, body) = req.into_parts();
        let until = self.clock.instant(deadline);
        let body = match timeout_at(until, Limited::new(body, max_body).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                let text = format!("body not read: {e}; at most {max_body} bytes are accepted");
                return Err((ErrorKind::InvalidInput, text.into()));
            }
            Err(_) => {
                let text = "the deadline passed before the body arrived";
                return Err((ErrorKind::DeadlineBeforeStart, text.into()));
            }
        };
        Ok(PendingRequest {
            id: RequestId::from(self.next_id.fetch_add(1, Ordering::Relaxed)),
            service: service.id,
            method: parts.method,
            path_and_query,
            headers: end_to_end(parts.headers),
            body,
            key,
            deadline,
            response_headers: HeaderMap::new(),
            result_tx,
        })
    }
}

/// Handles one request.
pub(super) async fn handle_request(
    State(frontend): State<Arc<HttpFrontend>>,
    req: Request,
) -> Response {
    match frontend.handle(req).await {
        Ok(resp) => resp,
        Err((kind, text)) => reject(kind, &text),
    }
}

fn find_service<'a, 'b>(
    catalog: &'a ServiceCatalog,
    path: &'b str,
) -> Option<(&'a Service, &'b str)> {
    let path = path.strip_prefix("/services/")?;
    catalog.services.iter().find_map(|s| {
        let rest = path.strip_prefix(&*s.path)?;
        (rest.is_empty() || rest.starts_with('/')).then_some((s, rest))
    })
}

fn parse_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Rejection> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_BYTES || values.next().is_some() {
        let text = "Idempotency-Key: expected one value of 1 to 255 visible characters";
        return Err((ErrorKind::InvalidInput, text.into()));
    }
    Ok(Some(text.into()))
}

fn check_method(method: &Method, key: Option<&IdempotencyKey>) -> Result<(), Rejection> {
    match is_idempotent(method) {
        None => Err((
            ErrorKind::InvalidInput,
            format!("method {method} is not served").into(),
        )),
        Some(false) if key.is_none() => Err((
            ErrorKind::InvalidInput,
            format!("{method} needs an Idempotency-Key, so that it runs at most once").into(),
        )),
        Some(_) => Ok(()),
    }
}

fn parse_deadline(headers: &HeaderMap, service: &Service) -> Result<Duration, Rejection> {
    let Some(value) = headers.get(DEADLINE) else {
        let default = service.policies.requests.default_deadline_ms;
        return Ok(Duration::from_millis(default));
    };
    let text = value.to_str().unwrap_or_default();
    let passed = || {
        let text = "X-Deadline-Ms: the deadline has passed";
        (ErrorKind::DeadlineBeforeStart, text.into())
    };
    match text.parse::<i64>() {
        Ok(ms) if ms <= 0 => Err(passed()),
        Ok(ms) => Ok(Duration::from_millis(
            ms.unsigned_abs().min(MAX_DEADLINE_MS),
        )),
        Err(_) => {
            let text = format!("X-Deadline-Ms: {text} is not a number of milliseconds");
            Err((ErrorKind::InvalidInput, text.into()))
        }
    }
}
