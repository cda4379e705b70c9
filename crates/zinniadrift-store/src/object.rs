use serde::{Deserialize, Serialize};

/// A versioned value in the platform's object API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// The object's key, such as `settings/granite`.
    pub key: Box<str>,
    /// The store-wide revision of the last write to the object; every write to the store increases
    /// the revision.
    pub revision: u64,
    /// The value, at most 1 MB.
    pub value: serde_json::Value,
}
