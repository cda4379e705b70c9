use serde::{Deserialize, Serialize};

/// Is one versioned value of the platform's object API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// The object's name, such as `settings/granite`.
    pub key: Box<str>,
    /// The store's revision of the last write to the object; it rises with every write.
    pub revision: u64,
    /// The value, at most 1 MB.
    pub value: serde_json::Value,
}
