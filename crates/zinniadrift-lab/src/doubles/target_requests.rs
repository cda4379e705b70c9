use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, HeaderName, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use futures::stream;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::target_flows::FlowTable;
use super::{RunLog, TargetBehavior};

const KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const ATTEMPT: HeaderName = HeaderName::from_static("x-zinniadrift-attempt");
const REFUSED: HeaderName = HeaderName::from_static("x-target-refused");
/// Asks for a faulty answer: `truncate`, `silent` or `late=MILLISECONDS`.
const FAULT: HeaderName = HeaderName::from_static("x-target-fault");

/// Serves the requests, the endpoints and the controls of a target double.
#[derive(Debug)]
pub(super) struct RequestSide {
    name: Box<str>,
    started: Instant,
    busy: AtomicU32,
    behavior: Mutex<TargetBehavior>,
    stated: Mutex<Option<(Instant, u32)>>,
    runs: RunLog,
    flows: Arc<FlowTable>,
}

/// Occupies one slot until it is dropped.
struct Slot<'a>(&'a AtomicU32);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl RequestSide {
    pub(super) fn new(name: &str, behavior: TargetBehavior, flows: Arc<FlowTable>) -> Self {
        Self {
            name: name.into(),
            started: Instant::now(),
            busy: AtomicU32::new(0),
            behavior: Mutex::new(behavior),
            stated: Mutex::new(None),
            runs: RunLog::default(),
            flows,
        }
    }

    /// Returns the routes of the double.
    pub(super) fn routes(self) -> Router {
        Router::new()
            .route("/load", get(state_load))
            .route("/health", get(state_health))
            .route("/runs", get(list_runs))
            .route("/flows", get(list_flows))
            .route("/control", post(control))
            .fallback(run)
            .with_state(Arc::new(self))
    }

    fn take_slot(&self, slots: u32) -> Option<Slot<'_>> {
        let below = |busy| (busy < slots).then_some(busy + 1);
        let taken = self
            .busy
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, below);
        taken.ok().map(|_| Slot(&self.busy))
    }

    fn service_time(&self, behavior: &TargetBehavior) -> Duration {
        let time = Duration::from_millis(behavior.service_ms);
        if self.started.elapsed() < Duration::from_millis(behavior.cold_start_ms) {
            time * behavior.cold_factor.max(1)
        } else {
            time
        }
    }

    /// Returns the stated busy slots and the age of the statement.
    fn state_busy(&self, behavior: &TargetBehavior) -> (u32, Duration) {
        let busy = self.busy.load(Ordering::Acquire);
        if let Some(stated) = behavior.load_override {
            return (stated, Duration::ZERO);
        }
        let lag = Duration::from_millis(behavior.load_lag_ms);
        let mut stated = self.stated.lock();
        let (at, value) = stated
            .filter(|(at, _)| at.elapsed() < lag)
            .unwrap_or_else(|| (Instant::now(), busy));
        *stated = Some((at, value));
        (value, at.elapsed())
    }
}

type Side = State<Arc<RequestSide>>;

async fn state_load(State(side): Side) -> Json<Value> {
    let behavior = side.behavior.lock().clone();
    let (busy, age) = side.state_busy(&behavior);
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    Json(json!({ "open_flows": side.flows.open(), "busy": busy, "age_ms": age_ms }))
}

async fn state_health(State(side): Side) -> Response {
    let healthy = side.behavior.lock().health_override.unwrap_or(true);
    let status = if healthy {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (status, Json(json!({ "healthy": healthy }))).into_response()
}

async fn list_runs(State(side): Side) -> Response {
    Json(side.runs.snapshot()).into_response()
}

async fn list_flows(State(side): Side) -> Json<Value> {
    Json(json!({ "open": side.flows.open(), "opened": side.flows.opened() }))
}

async fn control(State(side): Side, Json(behavior): Json<TargetBehavior>) -> StatusCode {
    *side.behavior.lock() = behavior;
    StatusCode::NO_CONTENT
}

async fn run(State(side): Side, headers: HeaderMap, body: Bytes) -> Response {
    let behavior = side.behavior.lock().clone();
    if behavior.draining {
        return refuse("draining");
    }
    if text(&headers, &DEADLINE) == Some("0") {
        return refuse("deadline");
    }
    let Some(_slot) = side.take_slot(behavior.slots) else {
        return refuse("before-start");
    };
    let run = side.runs.start(text(&headers, &KEY).unwrap_or("none"));
    sleep(side.service_time(&behavior)).await;
    let fault = text(&headers, &FAULT).unwrap_or_default();
    if fault == "silent" {
        return std::future::pending().await;
    }
    if let Some(ms) = fault.strip_prefix("late=") {
        sleep(Duration::from_millis(ms.parse().unwrap_or(0))).await;
    }
    let answer = format!("{} received {} bytes", side.name, body.len());
    run.finish();
    let mut resp = if fault == "truncate" {
        truncated(answer)
    } else {
        answer.into_response()
    };
    if let Some(attempt) = headers.get(ATTEMPT) {
        resp.headers_mut().insert(ATTEMPT, attempt.clone());
    }
    resp
}

fn refuse(reason: &'static str) -> Response {
    let headers = [(REFUSED, reason), (header::RETRY_AFTER, "1")];
    (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
}

/// Returns a response whose body ends before its stated length.
fn truncated(answer: String) -> Response {
    let stated = answer.len() + 1;
    let parts = [Ok(Bytes::from(answer)), Err("truncated on request")];
    let mut resp = Response::new(Body::from_stream(stream::iter(parts)));
    resp.headers_mut()
        .insert(header::CONTENT_LENGTH, stated.into());
    resp
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
