use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

use crate::{Object, ObjectStore, Precondition, StoreError};

/// Keeps objects in memory and injects faults on request.
#[derive(Debug)]
pub struct MemoryStore {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<Box<str>, Object>,
    revision: u64,
    faults: StoreFaults,
    calls: u64,
}

/// Says which faults a [`MemoryStore`] injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// The next this many writes take effect, but their answers are lost.
    pub lose_answers: u32,
    /// Every call takes this long, in milliseconds.
    pub delay_ms: u64,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl MemoryStore {
    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.inner.lock().faults = faults;
    }

    /// Returns the number of calls so far; a pending watch counts as one.
    pub fn calls(&self) -> u64 {
        self.inner.lock().calls
    }

    async fn enter(&self) -> Result<(), StoreError> {
        let faults = {
            let mut inner = self.inner.lock();
            inner.calls += 1;
            inner.faults
        };
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return Err(StoreError::Unavailable {
                reason: "outage".into(),
            });
        }
        Ok(())
    }

    fn select(&self, prefix: &str, after: u64) -> Vec<Object> {
        let inner = self.inner.lock();
        inner
            .objects
            .values()
            .filter(|o| o.key.starts_with(prefix) && o.revision > after)
            .cloned()
            .collect()
    }
}

impl Inner {
    fn write(&mut self, key: &str, value: Value, pre: Precondition) -> Result<u64, StoreError> {
        let current = self.objects.get(key).map(|o| o.revision);
        let holds = match pre {
            Precondition::None => true,
            Precondition::Absent => current.is_none(),
            Precondition::Revision(r) => current == Some(r),
        };
        if !holds {
            return Err(StoreError::Conflict { key: key.into() });
        }
        self.revision += 1;
        let object = Object {
            key: key.into(),
            revision: self.revision,
            value,
        };
        self.objects.insert(key.into(), object);
        Ok(self.revision)
    }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.enter().await?;
        Ok(self.inner.lock().objects.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        self.enter().await?;
        Ok(self.select(prefix, 0))
    }

    async fn put(&self, key: &str, value: Value, pre: Precondition) -> Result<u64, StoreError> {
        self.enter().await?;
        let (result, lost) = {
            let mut inner = self.inner.lock();
            let result = inner.write(key, value, pre);
            let lost = result.is_ok() && inner.faults.lose_answers > 0;
            if lost {
                inner.faults.lose_answers -= 1;
            }
            (result, lost)
        };
        if let Ok(revision) = result {
            self.changed.send_replace(revision);
        }
        if lost {
            return Err(StoreError::Unavailable {
                reason: "answer lost".into(),
            });
        }
        result
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Vec<Object>, StoreError> {
        let mut rx = self.changed.subscribe();
        self.enter().await?;
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let found = self.select(prefix, after);
            if !found.is_empty() {
                return Ok(found);
            }
            match tokio::time::timeout_at(deadline, rx.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return Ok(Vec::new()),
            }
        }
    }
}
