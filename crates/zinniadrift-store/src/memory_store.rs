use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::{Object, ObjectStore, Precondition, StoreError, StoreFaults};

/// An in-memory object store that injects faults on request.
#[derive(Debug)]
pub struct MemoryStore {
    inner: Mutex<Inner>,
    revision_tx: watch::Sender<u64>,
}

/// A copy of all objects of a [`MemoryStore`], which can be restored later.
#[derive(Clone, Debug, Default)]
pub struct StoreSnapshot {
    objects: BTreeMap<Box<str>, Object>,
    revision: u64,
}

#[derive(Debug, Default)]
struct Inner {
    state: StoreSnapshot,
    /// Each object as it was before its last write, for stale reads.
    previous: BTreeMap<Box<str>, Option<Object>>,
    faults: StoreFaults,
    calls: u64,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            revision_tx: watch::Sender::new(0),
        }
    }
}

impl MemoryStore {
    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.inner.lock().faults = faults;
    }

    /// Returns the number of calls so far, pending watches included.
    pub fn calls(&self) -> u64 {
        self.inner.lock().calls
    }

    /// Returns a copy of all objects.
    pub fn snapshot(&self) -> StoreSnapshot {
        self.inner.lock().state.clone()
    }

    /// Replaces all objects by those of `snapshot`; revisions continue from the snapshot's
    /// revision.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        let revision = snapshot.revision;
        let mut inner = self.inner.lock();
        inner.state = snapshot;
        inner.previous.clear();
        drop(inner);
        self.revision_tx.send_replace(revision);
    }

    async fn begin_call(&self) -> Result<StoreFaults, StoreError> {
        let faults = {
            let mut inner = self.inner.lock();
            inner.calls += 1;
            inner.faults
        };
        delay(faults.delay_ms).await;
        if faults.down {
            return Err(StoreError::Unavailable {
                reason: "outage".into(),
            });
        }
        Ok(faults)
    }

    fn objects_after(&self, prefix: &str, after: u64) -> Vec<Object> {
        let inner = self.inner.lock();
        let objects = inner.state.objects.values();
        objects
            .filter(|o| o.key.starts_with(prefix) && o.revision > after)
            .cloned()
            .collect()
    }
}

async fn delay(millis: u64) {
    if millis > 0 {
        sleep(Duration::from_millis(millis)).await;
    }
}

impl Inner {
    fn read(&mut self, key: &str) -> Option<Object> {
        let previous = self.previous.get(key);
        if let (Some(previous), 1..) = (previous, self.faults.stale_reads) {
            self.faults.stale_reads -= 1;
            return previous.clone();
        }
        self.state.objects.get(key).cloned()
    }

    fn write(&mut self, key: &str, value: Value, pre: Precondition) -> Result<u64, StoreError> {
        let current = self.state.objects.get(key).map(|o| o.revision);
        let holds = match pre {
            Precondition::None => true,
            Precondition::Absent => current.is_none(),
            Precondition::Revision(r) => current == Some(r),
        };
        if !holds {
            return Err(StoreError::Conflict { key: key.into() });
        }
        self.state.revision += 1;
        let object = Object {
            key: key.into(),
            revision: self.state.revision,
            value,
        };
        let previous = self.state.objects.insert(key.into(), object);
        self.previous.insert(key.into(), previous);
        Ok(self.state.revision)
    }

    /// Writes the object subject to injected faults and returns whether the answer is lost.
    fn write_with_faults(
        &mut self,
        key: &str,
        value: Value,
        pre: Precondition,
    ) -> (Result<u64, StoreError>, bool) {
        if self.faults.lose_requests > 0 {
            self.faults.lose_requests -= 1;
            let reason = "request lost".into();
            return (Err(StoreError::Unavailable { reason }), false);
        }
        let result = self.write(key, value, pre);
        let lost = result.is_ok() && self.faults.lose_answers > 0;
        if lost {
            self.faults.lose_answers -= 1;
        }
        (result, lost)
    }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let faults = self.begin_call().await?;
        let object = self.inner.lock().read(key);
        delay(faults.answer_delay_ms).await;
        Ok(object)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        let faults = self.begin_call().await?;
        let objects = self.objects_after(prefix, 0);
        delay(faults.answer_delay_ms).await;
        Ok(objects)
    }

    async fn put(&self, key: &str, value: Value, pre: Precondition) -> Result<u64, StoreError> {
        let faults = self.begin_call().await?;
        let (result, lost) = self.inner.lock().write_with_faults(key, value, pre);
        if let Ok(revision) = result {
            self.revision_tx.send_replace(revision);
        }
        delay(faults.answer_delay_ms).await;
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
        let mut rx = self.revision_tx.subscribe();
        self.begin_call().await?;
        let deadline = Instant::now() + wait;
        loop {
            let found = self.objects_after(prefix, after);
            if !found.is_empty() {
                return Ok(found);
            }
            match timeout_at(deadline, rx.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return Ok(Vec::new()),
            }
        }
    }
}
