use bytes::Bytes;
use http::{HeaderMap, Method};
use tokio::sync::oneshot;

use zinniadrift_core::gateway::{IdempotencyKey, Outcome, RequestId};
use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::units::MonoTime;

/// Is a request that waits for its outcome.
#[derive(Debug)]
pub(super) struct Pending {
    /// The driver's id of the request.
    pub(super) id: RequestId,
    /// The service that the path names.
    pub(super) service: ServiceId,
    /// The method.
    pub(super) method: Method,
    /// The path and query below the service's path.
    pub(super) rest: Box<str>,
    /// The caller's headers that concern the target.
    pub(super) headers: HeaderMap,
    /// The complete body.
    pub(super) body: Bytes,
    /// The caller's idempotency key.
    pub(super) key: Option<IdempotencyKey>,
    /// The time by which the caller wants the answer.
    pub(super) deadline: MonoTime,
    /// The headers of the last complete response.
    pub(super) response_headers: HeaderMap,
    /// Takes the answer.
    pub(super) answer: oneshot::Sender<Answered>,
}

/// Is the outcome of a request with the headers of the target's response.
#[derive(Debug)]
pub(super) struct Answered {
    /// The outcome.
    pub(super) outcome: Outcome,
    /// The headers of the target's response, if there was one.
    pub(super) headers: HeaderMap,
}

/// Tells whether a method may be repeated (RFC 9110, section 9.2.2); `None` if it is not served.
pub(super) fn is_idempotent(method: &Method) -> Option<bool> {
    match *method {
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS => Some(true),
        Method::POST | Method::PATCH => Some(false),
        _ => None,
    }
}
