use axum::body::Body;
use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode, header};

use zinniadrift_core::error::{ErrorKind, RetryAdvice};
use zinniadrift_core::gateway::Outcome;

use super::headers::OUTCOME;
use super::pending_request::RequestResult;

/// Builds the response to the caller for an outcome.
pub(super) fn respond(result: RequestResult) -> Response {
    match result.outcome {
        Outcome::Done { status, body } => {
            let mut resp = Response::new(Body::from(body));
            *resp.status_mut() = to_status_code(status);
            *resp.headers_mut() = result.headers;
            with_outcome(resp, "done")
        }
        Outcome::NotRun {
            kind,
            retry_after_ms,
        } => not_run(kind, retry_after_ms, &kind.to_string()),
        Outcome::Unknown { kind } => {
            let status = to_status_code(kind.response().http_status);
            with_outcome((status, kind.to_string()).into_response(), "unknown")
        }
    }
}

/// Builds the response to a request that was rejected before it reached the core.
pub(super) fn reject(kind: ErrorKind, text: &str) -> Response {
    let retry_after_ms = match kind.response().retry {
        RetryAdvice::AfterMillis(ms) => ms,
        RetryAdvice::Never | RetryAdvice::OnlyIfIdempotent => 0,
    };
    not_run(kind, retry_after_ms, text)
}

fn not_run(kind: ErrorKind, retry_after_ms: u64, text: &str) -> Response {
    let status = to_status_code(kind.response().http_status);
    let mut resp = (status, text.to_owned()).into_response();
    if retry_after_ms > 0 {
        // The header is in whole seconds; rounded up, so that callers do not retry too early.
        let seconds = retry_after_ms.div_ceil(1_000);
        resp.headers_mut()
            .insert(header::RETRY_AFTER, seconds.into());
    }
    with_outcome(resp, "not run")
}

fn with_outcome(mut resp: Response, outcome: &'static str) -> Response {
    let value = HeaderValue::from_static(outcome);
    resp.headers_mut().insert(OUTCOME, value);
    resp
}

fn to_status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}
