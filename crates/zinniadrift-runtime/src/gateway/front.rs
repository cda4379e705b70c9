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

use super::answer::{refuse, respond};
use super::headers::{DEADLINE, IDEMPOTENCY_KEY, end_to_end};
use super::pending::{Answered, Pending, is_idempotent};
use crate::daemon::RunClock;

/// The limit of requests in progress; further requests are rejected as overload.
const MAX_REQUESTS: usize = 16_384;
const MAX_KEY_BYTES: usize = 255;
const MAX_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;

/// The HTTP front end: validates callers' requests and passes them to the driver.
#[derive(Debug)]
pub(super) struct Front {
    pub(super) clock: RunClock,
    pub(super) catalog: watch::Receiver<Arc<ServiceCatalog>>,
    pub(super) calls: mpsc::Sender<Pending>,
    pub(super) cancels: mpsc::UnboundedSender<RequestId>,
    next: AtomicU64,
    permits: Semaphore,
}

/// The error kind and the text of a rejected request.
type Refusal = (ErrorKind, Box<str>);

/// A guard that notifies the driver if the caller disconnects before the response.
struct CancelGuard<'a> {
    front: &'a Front,
    req: RequestId,
    armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            // The unbounded queue holds at most one entry per request in progress.
            let _ = self.front.cancels.send(self.req);
        }
    }
}

impl Front {
    pub(super) fn new(
        clock: RunClock,
        catalog: watch::Receiver<Arc<ServiceCatalog>>,
        calls: mpsc::Sender<Pending>,
        cancels: mpsc::UnboundedSender<RequestId>,
    ) -> Self {
        Self {
            clock,
            catalog,
            calls,
            cancels,
            next: AtomicU64::new(1),
            permits: Semaphore::new(MAX_REQUESTS),
        }
    }

    async fn exchange(&self, req: Request) -> Result<Response, Refusal> {
        let Ok(_permit) = self.permits.try_acquire() else {
            return Err((
                ErrorKind::Overloaded,
                "too many requests in progress".into(),
            ));
        };
        let (answer, answered) = oneshot::channel();
        let pending = self.read(req, answer).await?;
        let mut guard = CancelGuard {
            front: self,
            req: pending.id,
            armed: true,
        };
        if self.calls.send(pending).await.is_err() {
            guard.armed = false;
            return Err((ErrorKind::ShuttingDown, "shutting down".into()));
        }
        let answered = answered.await;
        guard.armed = false;
        match answered {
            Ok(answered) => Ok(respond(answered)),
            // The driver exited at its leave deadline; the request may already have been sent.
            Err(_) => Ok(respond(Answered {
                outcome: Outcome::Unknown {
                    kind: ErrorKind::OutcomeUnknown,
                },
                headers: HeaderMap::new(),
            })),
        }
    }

    /// Reads and validates a complete request.
    async fn read(
        &self,
        req: Request,
        answer: oneshot::Sender<Answered>,
    ) -> Result<Pending, Refusal> {
        let catalog = self.catalog.borrow().clone();
        let path = req.uri().path();
        let Some((service, rest)) = find_service(&catalog, path) else {
            return Err((ErrorKind::NotFound, format!("no service at {path}").into()));
        };
        let rest = match req.uri().query() {
            Some(query) => format!("{rest}?{query}").into(),
            None => rest.into(),
        };
        let key = key_of(req.headers())?;
        check_method(req.method(), key.as_ref())?;
        let budget = deadline_of(req.headers(), service)?;
        let deadline = self.clock.now() + budget;
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
        Ok(Pending {
            id: RequestId::from(self.next.fetch_add(1, Ordering::Relaxed)),
            service: service.id,
            method: parts.method,
            rest,
            headers: end_to_end(parts.headers),
            body,
            key,
            deadline,
            response_headers: HeaderMap::new(),
            answer,
        })
    }
}

/// Handles one request.
pub(super) async fn serve(State(front): State<Arc<Front>>, req: Request) -> Response {
    match front.exchange(req).await {
        Ok(resp) => resp,
        Err((kind, text)) => refuse(kind, &text),
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

fn key_of(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
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

fn check_method(method: &Method, key: Option<&IdempotencyKey>) -> Result<(), Refusal> {
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

fn deadline_of(headers: &HeaderMap, service: &Service) -> Result<Duration, Refusal> {
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
