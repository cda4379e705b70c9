use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::StoreError;

/// The time limit of a connection attempt.
///
/// Connecting within one site takes milliseconds, and TCP sends its first SYN retransmission after
/// one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The idle time before the first TCP keep-alive probe and the interval between probes.
///
/// The connection ends after three lost probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 3;
/// The largest response body that is read, 8 MiB: several times the platform's largest object.
const MAX_BODY_BYTES: usize = 8 << 20;

/// An HTTP client with a time limit for each call.
///
/// A call that fails or exceeds its limit closes its connection, so that a connection without a
/// responding peer is not reused.
#[derive(Clone, Debug)]
pub struct HttpTransport {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpTransport {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::with_connect_timeout(CONNECT_TIMEOUT)
    }

    /// Creates a client whose connection attempts end after `timeout`.
    pub fn with_connect_timeout(timeout: Duration) -> Self {
        Self::with_limits(timeout, KEEPALIVE_PROBES)
    }

    fn with_limits(timeout: Duration, keepalive_probes: u32) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        connector.set_keepalive(Some(KEEPALIVE));
        connector.set_keepalive_interval(Some(KEEPALIVE));
        connector.set_keepalive_retries(Some(keepalive_probes));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Creates a client for calls that wait long: a connection without a responding peer ends after
    /// 2 s, with the first keep-alive probe that is lost.
    pub fn for_long_calls() -> Self {
        Self::with_limits(CONNECT_TIMEOUT, 1)
    }

    /// Sends one request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives in time; the request may have been executed.
    pub async fn call(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let exchange = async {
            let resp = self
                .client
                .request(req)
                .await
                .map_err(StoreError::unavailable)?;
            let (parts, body) = resp.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES);
            let body = body.collect().await.map_err(StoreError::unavailable)?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::unavailable("timeout")),
        }
    }
}

impl Default for HttpTransport {
    fn default() -> Self {
        Self::new()
    }
}
