use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The caller's name for one piece of work.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The remaining time in milliseconds.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The outcome of a request: done, not run, unknown.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("x-zinniadrift-outcome");
/// The attempt that a response belongs to; a target echoes it.
pub(super) const ATTEMPT: HeaderName = HeaderName::from_static("x-zinniadrift-attempt");
/// Says that the target declined the work before it started, and why.
pub(super) const REFUSED: HeaderName = HeaderName::from_static("x-target-refused");
/// The value of [`REFUSED`] when all slots are busy.
pub(super) const REFUSED_BUSY: &str = "before-start";

/// Headers that concern one connection (RFC 9110, section 7.6.1) or are set anew.
const NOT_FORWARDED: [HeaderName; 12] = [
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    OUTCOME,
    ATTEMPT,
    DEADLINE,
];

/// Returns the headers that concern both ends of the exchange.
pub(super) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&NOT_FORWARDED) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}
