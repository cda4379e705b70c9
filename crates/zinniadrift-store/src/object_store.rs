use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::{Object, Precondition, StoreError};

/// The platform's object API: versioned objects, conditional writes and watches.
pub trait ObjectStore: Send + Sync {
    /// Reads one object; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send;

    /// Reads all objects whose key starts with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Object>, StoreError>> + Send;

    /// Writes one object if `pre` holds and returns its new revision.
    fn put(
        &self,
        key: &str,
        value: Value,
        pre: Precondition,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Waits up to `wait` for objects whose key starts with `prefix` and whose revision is above
    /// `after`.
    ///
    /// Returns an empty list if no such object appears in time.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<Object>, StoreError>> + Send;
}

impl<S: ObjectStore> ObjectStore for Arc<S> {
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, StoreError>> + Send {
        S::get(self, key)
    }

    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Object>, StoreError>> + Send {
        S::list(self, prefix)
    }

    fn put(
        &self,
        key: &str,
        value: Value,
        pre: Precondition,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send {
        S::put(self, key, value, pre)
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<Object>, StoreError>> + Send {
        S::watch(self, prefix, after, wait)
    }
}
