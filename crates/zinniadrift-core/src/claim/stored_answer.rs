use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A small answer that is stored for duplicates of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The complete body.
    pub body: Box<str>,
}

impl StoredAnswer {
    /// The largest stored body in bytes. It keeps a full shard far below the platform's limit of
    /// 1 MB per value.
    pub const MAX_BYTES: usize = 256;

    /// Returns the answer, or `None` if its body is too large or is not UTF-8.
    pub fn new(status: u16, body: &Bytes) -> Option<Self> {
        if body.len() > Self::MAX_BYTES {
            return None;
        }
        let body = std::str::from_utf8(body).ok()?.into();
        Some(Self { status, body })
    }
}
