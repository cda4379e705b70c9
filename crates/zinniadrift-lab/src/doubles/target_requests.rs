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

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const ATTEMPT: HeaderName = HeaderName::from_static("x-zinniadrift-attempt");
const REFUSED: HeaderName = HeaderName::from_static("x-target-refused");
/// Requests a faulty response: `truncate`, `silent` or `late=MILLISECONDS`.
const FAULT: HeaderName = HeaderName::from_static("x-target-fault");

/// The HTTP server of a target double: requests, load and health endpoints, and controls.
#[derive(Debug)]
pub(super) struct RequestServer {
    name: Box<str>,
    started: Instant,
    busy: AtomicU32,
    behavior: Mutex<TargetBehavior>,
    last_report: Mutex<Option<(Instant, u32)>>,
    runs: RunLog,
    flows: Arc<FlowTable>,
}

/// A guard that occupies a slot until it is dropped.
struct Slot<'a>(&'a AtomicU32);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl RequestServer {
    pub(super) fn new(name: &str, behavior: TargetBehavior, flows: Arc<FlowTable>) -> Self {
        Self {
            name: name.into(),
            started: Instant::now(),
            busy: AtomicU32::new(0),
            behavior: Mutex::new(behavior),
            last_report: Mutex::new(None),
            runs: RunLog::default(),
            flows,
        }
    }

    /// Returns the router that serves all endpoints.
    pub(super) fn into_router(self) -> Router {
        Router::new()
            .route("/load", get(report_load))
            .route("/health", get(report_health))
            .route("/runs", get(list_runs))
            .route("/flows", get(list_flows))
            .route("/control", post(set_behavior))
            .fallback(run)
            .with_state(Arc::new(self))
    }

    fn take_slot(&self, slots: u32) -> Option<Slot<'_>> {
        let take_if_free = |busy| (busy < slots).then_some(busy + 1);
        let taken = self
            .busy
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take_if_free);
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

    /// Returns the reported number of busy slots and the age of the report.
    fn reported_busy(&self, behavior: &TargetBehavior) -> (u32, Duration) {
        let busy = self.busy.load(Ordering::Acquire);
        if let Some(reported) = behavior.load_override {
            return (reported, Duration::ZERO);
        }
        let lag = Duration::from_millis(behavior.load_lag_ms);
        let mut last_report = self.last_report.lock();
        let (at, value) = last_report
            .filter(|(at, _)| at.elapsed() < lag)
            .unwrap_or_else(|| (Instant::now(), busy));
        *last_report = Some((at, value));
        (value, at.elapsed())
    }
}

type ServerState = State<Arc<RequestServer>>;

async fn report_load(State(server): ServerState) -> Json<Value> {
    let behavior = server.behavior.lock().clone();
    let (busy, age) = server.reported_busy(&behavior);
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    Json(json!({ "open_flows": server.flows.open(), "busy": busy, "age_ms": age_ms }))
}

async fn report_health(State(server): ServerState) -> Response {
    let healthy = server.behavior.lock().health_override.unwrap_or(true);
    let status = if healthy {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (status, Json(json!({ "healthy": healthy }))).into_response()
}

async fn list_runs(State(server): ServerState) -> Response {
    Json(server.runs.snapshot()).into_response()
}

async fn list_flows(State(server): ServerState) -> Json<Value> {
    Json(json!({ "open": server.flows.open(), "opened": server.flows.opened() }))
}

async fn set_behavior(
    State(server): ServerState,
    Json(behavior): Json<TargetBehavior>,
) -> StatusCode {
    *server.behavior.lock() = behavior;
    StatusCode::NO_CONTENT
}

async fn run(State(server): ServerState, headers: HeaderMap, body: Bytes) -> Response {
    let behavior = server.behavior.lock().clone();
    if behavior.draining {
        return refuse("draining");
    }
    if header_text(&headers, &DEADLINE) == Some("0") {
        return refuse("deadline");
    }
    let Some(_slot) = server.take_slot(behavior.slots) else {
        return refuse("before-start");
    };
    let run = server
        .runs
        .start(header_text(&headers, &IDEMPOTENCY_KEY).unwrap_or("none"));
    sleep(server.service_time(&behavior)).await;
    let fault = header_text(&headers, &FAULT).unwrap_or_default();
    if fault == "silent" {
        return std::future::pending().await;
    }
    if let Some(ms) = fault.strip_prefix("late=") {
        sleep(Duration::from_millis(ms.parse().unwrap_or(0))).await;
    }
    let answer = format!("{} received {} bytes", server.name, body.len());
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

/// Returns a response whose body ends before its `Content-Length`.
fn truncated(answer: String) -> Response {
    let content_length = answer.len() + 1;
    let parts = [Ok(Bytes::from(answer)), Err("truncated on request")];
    let mut resp = Response::new(Body::from_stream(stream::iter(parts)));
    resp.headers_mut()
        .insert(header::CONTENT_LENGTH, content_length.into());
    resp
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
