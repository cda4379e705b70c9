use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::http_transport::HttpTransport;
use crate::{Object, ObjectStore, Precondition, StoreError};

/// The time limit of a call; a watch may take its wait time in addition.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform's object API over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    transport: HttpTransport,
    platform: SocketAddr,
    timeout: Duration,
}

impl HttpStore {
    /// Returns a client of the platform at `platform`.
    pub fn new(platform: SocketAddr) -> Self {
        Self {
            transport: HttpTransport::new(),
            platform,
            timeout: CALL_TIMEOUT,
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        pre: Precondition,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.platform));
        req = req.header(header::CONTENT_TYPE, "application/json");
        match pre {
            Precondition::None => {}
            Precondition::Absent => req = req.header(header::IF_NONE_MATCH, "*"),
            Precondition::Revision(r) => req = req.header(header::IF_MATCH, r.to_string()),
        }
        req.body(Full::new(body)).unwrap_or_default()
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<T>, StoreError> {
        let req = self.request(Method::GET, path, Bytes::new(), Precondition::None);
        let resp = self.transport.call(req, timeout).await?;
        match resp.status() {
            StatusCode::OK => serde_json::from_slice(resp.body())
                .map(Some)
                .map_err(StoreError::unavailable),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(from_status(status, path)),
        }
    }
}

impl ObjectStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.read(&format!("/objects/{key}"), self.timeout).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        let found = self.read(&format!("/list/{prefix}"), self.timeout).await?;
        Ok(found.unwrap_or_default())
    }

    async fn put(&self, key: &str, value: Value, pre: Precondition) -> Result<u64, StoreError> {
        let path = format!("/objects/{key}");
        let req = self.request(Method::PUT, &path, value.to_string().into(), pre);
        let resp = self.transport.call(req, self.timeout).await?;
        match resp.status() {
            StatusCode::OK => serde_json::from_slice(resp.body()).map_err(StoreError::unavailable),
            status => Err(from_status(status, key)),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Vec<Object>, StoreError> {
        let path = format!("/watch/{prefix}?after={after}&wait_ms={}", wait.as_millis());
        let found = self.read(&path, wait + self.timeout).await?;
        Ok(found.unwrap_or_default())
    }
}

fn from_status(status: StatusCode, key: &str) -> StoreError {
    match status {
        StatusCode::PRECONDITION_FAILED => StoreError::Conflict { key: key.into() },
        // A call over the rate limit had no effect and can be retried.
        s if s.is_server_error() || s == StatusCode::TOO_MANY_REQUESTS => {
            StoreError::unavailable(s)
        }
        s => StoreError::Refused { status: s.as_u16() },
    }
}
