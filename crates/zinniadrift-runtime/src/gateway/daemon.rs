use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::RwLock;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use zinniadrift_core::error::{ErrorKind, RetryAdvice};
use zinniadrift_core::settings::{Service, ServiceCatalog};
use zinniadrift_platform::HttpStore;

use crate::daemon::{BindSnafu, DaemonError, DaemonSettings, shutdown_signal, watch_settings};

const SETTINGS_QUEUE: usize = 4;
const OUTCOME_HEADER: &str = "x-zinniadrift-outcome";

/// Serves requests until the process is asked to stop.
///
/// # Errors
///
/// Fails if the listening socket cannot be opened.
pub async fn run_gateway(cfg: DaemonSettings) -> Result<(), DaemonError> {
    let listener = TcpListener::bind(cfg.listen).await.context(BindSnafu {
        address: cfg.listen.to_string(),
    })?;
    let stop = CancellationToken::new();
    let tasks = TaskTracker::new();
    let (tx, mut rx) = mpsc::channel(SETTINGS_QUEUE);
    tasks.spawn(watch_settings(
        HttpStore::new(cfg.platform),
        cfg.user.clone(),
        tx,
        stop.clone(),
    ));
    let shared = Arc::new(Shared::default());
    let receiver = shared.clone();
    tasks.spawn(async move {
        while let Some(catalog) = rx.recv().await {
            if catalog.version > receiver.catalog.read().version {
                *receiver.catalog.write() = catalog;
            }
        }
    });
    tasks.close();
    tracing::info!(name = %cfg.name, listen = %cfg.listen, "gateway started");
    let app = Router::new().fallback(serve).with_state(shared);
    let served = axum::serve(listener, app)
        .with_graceful_shutdown(shutdown_signal())
        .await;
    stop.cancel();
    tasks.wait().await;
    tracing::info!(name = %cfg.name, "gateway stopped");
    served.context(BindSnafu {
        address: cfg.listen.to_string(),
    })
}

struct Shared {
    catalog: RwLock<Arc<ServiceCatalog>>,
    client: Client<HttpConnector, Full<Bytes>>,
    next: AtomicUsize,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            catalog: RwLock::default(),
            client: Client::builder(TokioExecutor::new()).build_http(),
            next: AtomicUsize::new(0),
        }
    }
}

async fn serve(State(shared): State<Arc<Shared>>, req: Request) -> Response {
    let catalog = shared.catalog.read().clone();
    let Some((service, rest)) = find_service(&catalog, req.uri().path()) else {
        return refuse(ErrorKind::NotFound);
    };
    let rest: Box<str> = rest.into();
    let active: Vec<SocketAddr> = service
        .targets
        .iter()
        .filter(|t| t.is_active())
        .map(|t| t.address)
        .collect();
    if active.is_empty() {
        return refuse(ErrorKind::NoTarget);
    }
    let max_body = service.policies.requests.max_body_bytes;
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, max_body).collect().await else {
        return refuse(ErrorKind::InvalidInput);
    };
    let target = active[shared.next.fetch_add(1, Ordering::Relaxed) % active.len()];
    let Ok(uri) = format!("http://{target}{rest}").parse::<Uri>() else {
        return refuse(ErrorKind::InvalidInput);
    };
    let mut out = http::Request::new(Full::new(body.to_bytes()));
    *out.method_mut() = parts.method;
    *out.uri_mut() = uri;
    match exchange(&shared, out).await {
        Ok((status, body)) => {
            (status, [(OUTCOME_HEADER, "done")], Body::from(body)).into_response()
        }
        Err(kind) => refuse(kind),
    }
}

async fn exchange(
    shared: &Shared,
    req: http::Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), ErrorKind> {
    let sent = shared.client.request(req).await;
    let resp = sent.map_err(|e| {
        if e.is_connect() {
            ErrorKind::NoTarget
        } else {
            ErrorKind::OutcomeUnknown
        }
    })?;
    let status = resp.status();
    let body = resp
        .into_body()
        .collect()
        .await
        .map_err(|_| ErrorKind::OutcomeUnknown)?;
    Ok((status, body.to_bytes()))
}

fn find_service<'a>(catalog: &'a ServiceCatalog, path: &'a str) -> Option<(&'a Service, &'a str)> {
    let path = path.strip_prefix("/services/")?;
    catalog.services.iter().find_map(|s| {
        let rest = path.strip_prefix(&*s.path)?;
        (rest.is_empty() || rest.starts_with('/')).then_some((s, rest))
    })
}

fn refuse(kind: ErrorKind) -> Response {
    let answer = kind.answer();
    let status = StatusCode::from_u16(answer.http_status).unwrap_or(StatusCode::BAD_GATEWAY);
    let outcome = if answer.not_run { "not run" } else { "unknown" };
    let mut resp = (status, [(OUTCOME_HEADER, outcome)], kind.to_string()).into_response();
    if let RetryAdvice::AfterMillis(ms) = answer.retry {
        resp.headers_mut()
            .insert(header::RETRY_AFTER, ms.div_ceil(1_000).into());
    }
    resp
}
