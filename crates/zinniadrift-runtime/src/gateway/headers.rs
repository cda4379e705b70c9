use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The caller's idempotency key of a request.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The time that remains for a request, in milliseconds.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The outcome of a request: `done`, `not run` or `unknown`.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("x-zinniadrift-outcome");
/// The id of an attempt; the target echoes it in the response.
pub(super) const ATTEMPT: HeaderName = HeaderName::from_static("x-zinniadrift-attempt");
/// The reason for which a target refused a request before starting it.
pub(super) const REFUSED: HeaderName = HeaderName::from_static("x-target-refused");
/// The value of [`REFUSED`] when all slots are busy.
pub(super) const REFUSED_BUSY: &str = "before-start";

/// Headers that are hop-by-hop (RFC 9110, section 7.6.1) or that the gateway sets itself.
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

/// Returns the end-to-end headers: without those of the connection and those that the gateway sets.
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
