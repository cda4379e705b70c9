use axum::body::Body;
use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode, header};

use zinniadrift_core::error::{ErrorKind, RetryAdvice};
use zinniadrift_core::gateway::Outcome;

use super::headers::OUTCOME;
use super::pending::Answered;

/// Builds the caller's response to an outcome.
pub(super) fn respond(answered: Answered) -> Response {
    match answered.outcome {
        Outcome::Done { status, body } => {
            let mut resp = Response::new(Body::from(body));
            *resp.status_mut() = status_of(status);
            *resp.headers_mut() = answered.headers;
            mark(resp, "done")
        }
        Outcome::NotRun {
            kind,
            retry_after_ms,
        } => not_run(kind, retry_after_ms, &kind.to_string()),
        Outcome::Unknown { kind } => {
            let status = status_of(kind.response().http_status);
            mark((status, kind.to_string()).into_response(), "unknown")
        }
    }
}

/// Builds the response to a request that was refused before the core saw it.
pub(super) fn refuse(kind: ErrorKind, text: &str) -> Response {
    let retry_after_ms = match kind.response().retry {
        RetryAdvice::AfterMillis(ms) => ms,
        RetryAdvice::Never | RetryAdvice::OnlyIfIdempotent => 0,
    };
    not_run(kind, retry_after_ms, text)
}

fn not_run(kind: ErrorKind, retry_after_ms: u64, text: &str) -> Response {
    let status = status_of(kind.response().http_status);
    let mut resp = (status, text.to_owned()).into_response();
    if retry_after_ms > 0 {
        // The header counts whole seconds; rounded up, so that nobody comes back too early.
        let seconds = retry_after_ms.div_ceil(1_000);
        resp.headers_mut()
            .insert(header::RETRY_AFTER, seconds.into());
    }
    mark(resp, "not run")
}

fn mark(mut resp: Response, outcome: &'static str) -> Response {
    let value = HeaderValue::from_static(outcome);
    resp.headers_mut().insert(OUTCOME, value);
    resp
}

fn status_of(number: u16) -> StatusCode {
    StatusCode::from_u16(number).unwrap_or(StatusCode::BAD_GATEWAY)
}
