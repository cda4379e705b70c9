use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use parking_lot::Mutex;
use serde_json::Value;
use tokio::net::TcpListener;

use zinniadrift_store::{
    MemoryStore, ObjectStore, Precondition, StoreError, StoreFaults, StoreSnapshot,
};

const DEFAULT_WATCH_WAIT_MS: u64 = 1_000;
/// The largest value in bytes that the platform accepts.
const MAX_VALUE_BYTES: usize = 1_000_000;

type Store = State<Arc<MemoryStore>>;
type SavedSnapshot = Extension<Arc<Mutex<StoreSnapshot>>>;

/// Serves the platform's object API from memory until `stop` completes.
///
/// `POST /faults` replaces the injected faults. `POST /snapshot` saves the current state, and
/// `POST /restore` restores the last saved state.
///
/// # Errors
///
/// Fails if the HTTP server cannot accept connections.
pub async fn serve_platform(
    listener: TcpListener,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let store = Arc::new(MemoryStore::default());
    let saved = Arc::new(Mutex::new(StoreSnapshot::default()));
    let app = Router::new()
        .route("/objects/{*key}", get(read).put(write))
        .route("/list/{*prefix}", get(list))
        .route("/watch/{*prefix}", get(watch))
        .route("/faults", post(set_faults))
        .route("/snapshot", post(save_snapshot))
        .route("/restore", post(restore))
        .layer(DefaultBodyLimit::max(MAX_VALUE_BYTES))
        .layer(Extension(saved))
        .with_state(store);
    // The server is dropped without a graceful shutdown, since pending watches would delay the
    // exit.
    tokio::select! {
        result = axum::serve(listener, app).into_future() => result,
        () = stop => Ok(()),
    }
}

async fn read(State(store): Store, Path(key): Path<String>) -> Response {
    match store.get(&key).await {
        Ok(Some(object)) => Json(object).into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(e) => error_response(&e),
    }
}

async fn write(
    State(store): Store,
    Path(key): Path<String>,
    headers: HeaderMap,
    Json(value): Json<Value>,
) -> Response {
    let Some(pre) = precondition(&headers) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match store.put(&key, value, pre).await {
        Ok(revision) => Json(revision).into_response(),
        Err(e) => error_response(&e),
    }
}

async fn list(State(store): Store, Path(prefix): Path<String>) -> Response {
    match store.list(&prefix).await {
        Ok(objects) => Json(objects).into_response(),
        Err(e) => error_response(&e),
    }
}

async fn watch(
    State(store): Store,
    Path(prefix): Path<String>,
    Query(query): Query<HashMap<String, u64>>,
) -> Response {
    let after = query.get("after").copied().unwrap_or(0);
    let wait = query
        .get("wait_ms")
        .copied()
        .unwrap_or(DEFAULT_WATCH_WAIT_MS);
    match store
        .watch(&prefix, after, Duration::from_millis(wait))
        .await
    {
        Ok(objects) => Json(objects).into_response(),
        Err(e) => error_response(&e),
    }
}

async fn set_faults(State(store): Store, Json(faults): Json<StoreFaults>) -> StatusCode {
    store.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn save_snapshot(State(store): Store, Extension(saved): SavedSnapshot) -> StatusCode {
    *saved.lock() = store.snapshot();
    StatusCode::NO_CONTENT
}

async fn restore(State(store): Store, Extension(saved): SavedSnapshot) -> StatusCode {
    store.restore(saved.lock().clone());
    StatusCode::NO_CONTENT
}

fn precondition(headers: &HeaderMap) -> Option<Precondition> {
    if headers.contains_key(header::IF_NONE_MATCH) {
        return Some(Precondition::Absent);
    }
    match headers.get(header::IF_MATCH) {
        Some(value) => value
            .to_str()
            .ok()?
            .parse()
            .ok()
            .map(Precondition::Revision),
        None => Some(Precondition::None),
    }
}

fn error_response(e: &StoreError) -> Response {
    let status = match e {
        StoreError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        StoreError::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
        StoreError::Refused { .. } => StatusCode::BAD_REQUEST,
    };
    (status, e.to_string()).into_response()
}
