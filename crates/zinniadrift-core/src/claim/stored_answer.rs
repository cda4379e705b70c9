use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Is a small answer that is kept for duplicates of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The complete body.
    pub body: Box<str>,
}

impl StoredAnswer {
    /// The largest body in bytes that is kept, so that a full shard stays far below the platform's
    /// limit of 1 MB per value.
    pub const MAX_BYTES: usize = 256;

    /// Returns the answer if it is small text; other answers are not kept.
    pub fn new(status: u16, body: &Bytes) -> Option<Self> {
        if body.len() > Self::MAX_BYTES {
            return None;
        }
        let body = std::str::from_utf8(body).ok()?.into();
        Some(Self { status, body })
    }
}
