use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::input::Input;
use super::peer_service::PeerService;

/// The content type of responses to peers.
pub(super) const JSON: &str = "application/json";
/// The content type of metrics: the text format of Prometheus.
const TEXT: &str = "text/plain; version=0.0.4";
const METRICS_PATH: &str = "/metrics";

/// The time-out for the header of a request; clients are probes and peers close by.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum number of open connections of a listener. Probes and a metrics collector need a few;
/// peers need one for each lease and some for peers that are referred elsewhere.
const MAX_CONNECTIONS: usize = 128;

/// Serves the readiness endpoint: 200 if the balancer accepts packets, 503 otherwise.
pub(super) async fn serve_readiness(
    listener: TcpListener,
    ready: watch::Receiver<bool>,
    stop: CancellationToken,
) {
    serve(listener, stop, move |_: Request<Incoming>| {
        let status = if *ready.borrow() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(respond(status, TEXT, Vec::new()))
    })
    .await;
}

/// Serves the metrics.
pub(super) async fn serve_metrics(
    listener: TcpListener,
    inputs: mpsc::Sender<Input>,
    stop: CancellationToken,
) {
    serve(listener, stop, move |req: Request<Incoming>| {
        let inputs = inputs.clone();
        async move {
            if req.uri().path() != METRICS_PATH {
                return respond(StatusCode::NOT_FOUND, TEXT, Vec::new());
            }
            let (tx, rx) = oneshot::channel();
            let sent = inputs.send(Input::Metrics(tx)).await.is_ok();
            match rx.await {
                Ok(text) if sent => respond(StatusCode::OK, TEXT, text.into_bytes()),
                _ => respond(StatusCode::SERVICE_UNAVAILABLE, TEXT, Vec::new()),
            }
        }
    })
    .await;
}

/// Serves the requests of peers.
pub(super) async fn serve_peers(
    listener: TcpListener,
    service: PeerService,
    stop: CancellationToken,
) {
    serve(listener, stop, move |req| service.clone().handle(req)).await;
}

async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            Some(ended) = connections.join_next() => {
                if let Err(e) = ended {
                    tracing::error!(error = %e, "connection failed");
                }
                continue;
            }
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(error = %e, "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let resp = handler(req);
            async move { Ok::<_, Infallible>(resp.await) }
        });
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT);
        let connection = http.serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "connection failed");
            }
        });
    }
    connections.shutdown().await;
}

pub(super) fn respond(
    status: StatusCode,
    content_type: &'static str,
    text: Vec<u8>,
) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::new(text.into()));
    *resp.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    resp.headers_mut().insert(header::CONTENT_TYPE, value);
    resp
}
