use bytes::Bytes;
use http::{HeaderMap, Method};
use tokio::sync::oneshot;

use zinniadrift_core::gateway::{IdempotencyKey, Outcome, RequestId};
use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::units::MonoTime;

/// A request that waits for its outcome.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// The id of the request within this gateway.
    pub(super) id: RequestId,
    /// The service that the path selects.
    pub(super) service: ServiceId,
    /// The HTTP method.
    pub(super) method: Method,
    /// The path and query relative to the service's path.
    pub(super) path_and_query: Box<str>,
    /// The caller's end-to-end headers.
    pub(super) headers: HeaderMap,
    /// The complete request body.
    pub(super) body: Bytes,
    /// The caller's idempotency key.
    pub(super) key: Option<IdempotencyKey>,
    /// The time by which the caller expects the response.
    pub(super) deadline: MonoTime,
    /// The headers of the last complete response.
    pub(super) response_headers: HeaderMap,
    /// The channel to the front end for the outcome.
    pub(super) result_tx: oneshot::Sender<RequestResult>,
}

/// The outcome of a request with the headers of the target's response.
#[derive(Debug)]
pub(super) struct RequestResult {
    /// The outcome.
    pub(super) outcome: Outcome,
    /// The headers of the target's response; empty if there was none.
    pub(super) headers: HeaderMap,
}

/// Returns whether a method is idempotent (RFC 9110, section 9.2.2); `None` if it is not supported.
pub(super) fn is_idempotent(method: &Method) -> Option<bool> {
    match *method {
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS => Some(true),
        Method::POST | Method::PATCH => Some(false),
        _ => None,
    }
}
