use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::StoreError;

/// The time after which an unanswered connection attempt fails.
///
/// A connection on one site takes milliseconds; the first repeated SYN comes after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The idle time and the interval of keep-alive probes; three lost ones end the connection.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 3;
/// The largest body that is read, 8 MiB: several times the largest object of the platform.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Carries HTTP calls, each with its own time limit.
///
/// A call that fails or takes too long takes its connection with it, so that a connection that
/// went silent is never used again.
#[derive(Clone, Debug)]
pub struct HttpTransport {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpTransport {
    /// Returns a transport without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE));
        connector.set_keepalive_interval(Some(KEEPALIVE));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends one request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete answer in time; the request may have been carried out.
    pub async fn call(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let exchange = async {
            let resp = self
                .client
                .request(req)
                .await
                .map_err(StoreError::unavailable)?;
            let status = resp.status();
            let body = Limited::new(resp.into_body(), MAX_BODY_BYTES);
            let body = body.collect().await.map_err(StoreError::unavailable)?;
            Ok((status, body.to_bytes()))
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
