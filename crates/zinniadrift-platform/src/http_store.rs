use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Object, ObjectStore, Precondition, StoreError};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Speaks to the platform's object API over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: Client<HttpConnector, Full<Bytes>>,
    platform: SocketAddr,
    timeout: Duration,
}

impl HttpStore {
    /// Returns a client of the platform at `platform`.
    pub fn new(platform: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            client,
            platform,
            timeout: CALL_TIMEOUT,
        }
    }

    async fn call(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let exchange = async {
            let resp = self.client.request(req).await.map_err(unavailable)?;
            let status = resp.status();
            let body = resp.into_body().collect().await.map_err(unavailable)?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Unavailable {
                reason: "timeout".into(),
            }),
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
        let (status, body) = self.call(req, timeout).await?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map(Some).map_err(unavailable),
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
        let (status, body) = self.call(req, self.timeout).await?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(unavailable),
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

fn unavailable(e: impl std::fmt::Display) -> StoreError {
    StoreError::Unavailable {
        reason: e.to_string().into(),
    }
}

fn from_status(status: StatusCode, key: &str) -> StoreError {
    match status {
        StatusCode::PRECONDITION_FAILED => StoreError::Conflict { key: key.into() },
        // A call over the rate limit had no effect and may be repeated.
        s if s.is_server_error() || s == StatusCode::TOO_MANY_REQUESTS => StoreError::Unavailable {
            reason: s.to_string().into(),
        },
        s => StoreError::Refused { status: s.as_u16() },
    }
}
