use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use zinniadrift_core::gateway::{AttemptId, AttemptResult};

use super::headers::{ATTEMPT, DEADLINE, REFUSED, REFUSED_BUSY, end_to_end};

/// The longest time to open a connection.
///
/// A target in the same region accepts within milliseconds; a longer wait only delays the retry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which an unused connection is closed.
///
/// It is shorter than the idle time-outs that are common on servers, so that a target rarely closes
/// a connection on which a request was just sent.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The size limit of a response body; a longer one counts as truncated.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

pub(super) type TargetClient = Client<HttpConnector, Full<Bytes>>;

/// An attempt to run a request on a target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) target: SocketAddr,
    pub(super) method: Method,
    pub(super) path_and_query: Box<str>,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) remaining: Duration,
    pub(super) progress_timeout: Duration,
}

/// The result of an attempt, with the headers of the target's response.
#[derive(Debug)]
pub(super) struct FinishedAttempt {
    pub(super) attempt: AttemptId,
    pub(super) result: AttemptResult,
    pub(super) headers: HeaderMap,
}

/// Returns a client that opens HTTP/1.1 connections.
///
/// Each connection carries one request at a time, so cancelling an exchange closes its connection.
pub(super) fn target_client() -> TargetClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .build(connector)
}

impl Attempt {
    /// Runs the attempt; dropping the future closes the connection, which cancels the request.
    pub(super) async fn run(self, client: TargetClient) -> FinishedAttempt {
        let attempt = self.id;
        let (result, headers) = match self.exchange(&client).await {
            Ok((result, headers)) => (result, headers),
            Err(result) => (result, HeaderMap::new()),
        };
        FinishedAttempt {
            attempt,
            result,
            headers,
        }
    }

    async fn exchange(
        self,
        client: &TargetClient,
    ) -> Result<(AttemptResult, HeaderMap), AttemptResult> {
        let progress_timeout = self.progress_timeout;
        let is_head = self.method == Method::HEAD;
        // A request whose URI is invalid is never sent.
        let req = self.request().ok_or(AttemptResult::RefusedBeforeStart)?;
        let resp = match timeout(progress_timeout, client.request(req)).await {
            Err(_) => return Err(AttemptResult::NoProgress),
            Ok(Err(e)) if e.is_connect() => return Err(AttemptResult::ConnectFailed),
            Ok(Err(_)) => return Err(AttemptResult::ConnectionLost),
            Ok(Ok(resp)) => resp,
        };
        if let Some(refusal) = refusal_of(&resp) {
            return Err(refusal);
        }
        let is_framed = is_head || has_framing(&resp);
        let status = resp.status().as_u16();
        let echo = resp.headers().get(ATTEMPT).and_then(parse_number);
        let (parts, body) = resp.into_parts();
        let body = read_body(body, progress_timeout).await?;
        if !is_framed {
            return Err(AttemptResult::Truncated);
        }
        let result = AttemptResult::Complete {
            status,
            body,
            echo: echo.map(AttemptId::from),
        };
        Ok((result, end_to_end(parts.headers)))
    }

    fn request(self) -> Option<Request<Full<Bytes>>> {
        let path_and_query = if self.path_and_query.starts_with('/') {
            self.path_and_query
        } else {
            format!("/{}", self.path_and_query).into()
        };
        let uri: Uri = format!("http://{}{path_and_query}", self.target)
            .parse()
            .ok()?;
        let mut req = Request::new(Full::new(self.body));
        *req.method_mut() = self.method;
        *req.uri_mut() = uri;
        *req.headers_mut() = self.headers;
        let remaining_ms = u64::try_from(self.remaining.as_millis()).unwrap_or(u64::MAX);
        let headers = req.headers_mut();
        headers.insert(DEADLINE, HeaderValue::from(remaining_ms));
        headers.insert(ATTEMPT, HeaderValue::from(self.id.get()));
        Some(req)
    }
}

/// Returns the refusal if the response states that the target did not start the request.
fn refusal_of(resp: &Response<Incoming>) -> Option<AttemptResult> {
    let reason = resp.headers().get(REFUSED)?;
    if resp.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    if reason != REFUSED_BUSY {
        return Some(AttemptResult::RefusedBeforeStart);
    }
    let seconds = resp.headers().get(RETRY_AFTER).and_then(parse_number);
    Some(AttemptResult::Shed {
        retry_after: seconds.map(Duration::from_secs),
    })
}

/// Returns whether the end of the response can be distinguished from the loss of the connection.
fn has_framing(resp: &Response<Incoming>) -> bool {
    let headers = resp.headers();
    let has_no_body = matches!(
        resp.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

async fn read_body(mut body: Incoming, progress_timeout: Duration) -> Result<Bytes, AttemptResult> {
    let mut buf = BytesMut::new();
    loop {
        match timeout(progress_timeout, body.frame()).await {
            Err(_) => return Err(AttemptResult::NoProgress),
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(Err(_))) => return Err(AttemptResult::Truncated),
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    buf.extend_from_slice(data);
                }
            }
        }
        if buf.len() > MAX_RESPONSE_BYTES {
            return Err(AttemptResult::Truncated);
        }
    }
}

fn parse_number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}
